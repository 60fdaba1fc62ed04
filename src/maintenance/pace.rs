//! How fast a wave goes and what helps it: the next instance to visit, and
//! whether to lend an instance to the pool that everything waits for. The
//! planner and the controller decide by the same functions, so that a plan is
//! what will be done as long as nothing fails.

use crate::model::{Budget, Instance, PoolName, Survive};

use super::{Room, WaveWeights};

/// What a pool without any room counts as still needing: a day, longer than any
/// wave is let wait, so that a loan is worth its moves under every weighing.
const STUCK_MS: u64 = 24 * 3_600_000;

/// Loans weighed at once. Beyond a rack's worth the donors' own absence would
/// be a larger risk than a longer wave.
const LOANS_MAX: u32 = 4;

/// The next instance to take out of a pool, none if the budget has no room.
///
/// Under a budget that survives a rack, the instances of the largest rack cost
/// no room while it stays the largest: taking them first groups the visits by
/// failure domain exactly where that is cheaper.
pub fn next_visit<'a>(
    room: &Room,
    budget: &Budget,
    mut candidates: impl Iterator<Item = &'a Instance>,
) -> Option<&'a Instance> {
    if budget.survive != Survive::Rack {
        let first = candidates.next()?;
        return room.holds_without(&first.rack, budget).then_some(first);
    }
    let mut best: Option<(u32, &Instance)> = None;
    for instance in candidates {
        let size = room.rack(&instance.rack);
        let larger = best.is_none_or(|(found, _)| size > found);
        if larger && room.holds_without(&instance.rack, budget) {
            best = Some((size, instance));
        }
    }
    best.map(|(_, instance)| instance)
}

/// How far a wave is in one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolPace {
    /// The pool.
    pub pool: PoolName,
    /// Instances whose turn is still to come.
    pub pending: u32,
    /// Instances out of service for the wave.
    pub out: u32,
    /// Instances that may be out at once, lent ones on their way included.
    pub width: u32,
    /// Instances it could do without now.
    pub spare: u32,
}

impl PoolPace {
    /// Time until the wave is through with the pool, in milliseconds.
    fn remaining_ms(&self, visit_ms: u64) -> u64 {
        // Those that are out are half through, on average.
        let tail_ms = if self.out > 0 { visit_ms / 2 } else { 0 };
        if self.pending == 0 {
            return tail_ms;
        }
        if self.width == 0 {
            return STUCK_MS;
        }
        let rounds = u64::from(self.pending.div_ceil(self.width));
        tail_ms + rounds * visit_ms
    }

    fn lent(&self) -> Self {
        Self {
            width: self.width.saturating_sub(1),
            spare: self.spare.saturating_sub(1),
            ..self.clone()
        }
    }
}

/// One instance to lend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The pool that lends.
    pub from: PoolName,
    /// The pool that everything waits for.
    pub to: PoolName,
    /// Roll-out time won by this loan and those that go with it, in milliseconds.
    pub won_ms: u64,
}

/// The next loan worth its cost, if any.
///
/// Several pools may be last together, where one loan alone wins nothing; so up
/// to [`LOANS_MAX`] are weighed as a set, and the first of the best set is made.
pub fn next_loan(
    paces: &[PoolPace],
    weights: &WaveWeights,
    visit_ms: u64,
    drain_ms: u64,
) -> Option<Loan> {
    let mut paces = paces.to_vec();
    let before_ms = last_ms(&paces, visit_ms);
    let mut first = None;
    let mut best: Option<(u64, u64)> = None;
    for loans in 1..=LOANS_MAX {
        let Some((from, to)) = pair(&paces, visit_ms) else {
            break;
        };
        first.get_or_insert((paces[from].pool.clone(), paces[to].pool.clone()));
        paces[from] = paces[from].lent();
        paces[to].width += 1;
        let after_ms = last_ms(&paces, visit_ms) + drain_ms;
        let won_ms = before_ms.saturating_sub(after_ms);
        let cost = weights.loan_cost(loans, after_ms);
        let gain = weights.rollout_cost(won_ms).saturating_sub(cost);
        if gain > best.map_or(0, |(gain, _)| gain) {
            best = Some((gain, won_ms));
        }
    }
    let (_, won_ms) = best?;
    let (from, to) = first?;
    Some(Loan { from, to, won_ms })
}

fn last_ms(paces: &[PoolPace], visit_ms: u64) -> u64 {
    let each = paces.iter().map(|p| p.remaining_ms(visit_ms));
    each.max().unwrap_or(0)
}

/// The pool that lends with the least harm, and the one that is last.
fn pair(paces: &[PoolPace], visit_ms: u64) -> Option<(usize, usize)> {
    let mut last: Option<(u64, usize)> = None;
    for (i, pace) in paces.iter().enumerate() {
        let ms = pace.remaining_ms(visit_ms);
        if pace.pending > 0 && last.is_none_or(|(found, _)| ms > found) {
            last = Some((ms, i));
        }
    }
    let (last_ms, to) = last?;
    let donors = paces.iter().enumerate();
    let donors = donors.filter(|(i, pace)| *i != to && pace.spare > 0);
    let donors = donors.map(|(i, pace)| (pace.lent().remaining_ms(visit_ms), i));
    let (donor_ms, from) = donors.min()?;
    (donor_ms < last_ms).then_some((from, to))
}
