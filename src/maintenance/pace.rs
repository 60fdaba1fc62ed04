//! How fast a wave goes and what helps it: the next instance to visit, and
//! whether to lend an instance to the pool that everything waits for. The
//! planner and the controller decide by the same functions, so that a plan is
//! what will be done as long as nothing fails.

use std::cmp::Reverse;

use crate::model::{Budget, FailureDomain, Instance, PoolName};

use super::{Room, WaveWeights};

/// What a pool without any room counts as still needing: a day, longer than any
/// wave is let wait, so that a loan is worth its moves under every weighing.
const STUCK_MS: u64 = 24 * 3_600_000;

/// Loans weighed at once. Beyond a rack's worth the donors' own absence would
/// be a larger risk than a longer wave.
const LOANS_MAX: u32 = 4;

/// The part of one visit's spread that a loan must win beyond its cost. At 100
/// the deployment that weighs roll-out time made 1.8 times the fewest moves
/// possible, at 150 as many as that for 0.7 minutes more; at 300 it lent nothing
/// (means of ten runs by `measure waves`).
const NOISE_PERCENT: u64 = 150;

/// The next instance to take out of a pool, none if the budget has no room.
///
/// Under a budget that survives a rack, the largest rack goes first: while it is
/// the only largest, the loss still to come shrinks with it and the visit costs
/// no room. Among racks of one size, a rack with few members goes first: two of
/// a large rack, one after the other, give that room for twice as long as both
/// at once.
pub fn next_visit<'a>(
    room: &Room,
    budget: &Budget,
    mut candidates: impl Iterator<Item = &'a Instance>,
) -> Option<&'a Instance> {
    if budget.survive != FailureDomain::Rack {
        let first = candidates.next()?;
        return room.holds_without(&first.rack, budget).then_some(first);
    }
    let mut best: Option<((u32, Reverse<u32>), &Instance)> = None;
    for instance in candidates {
        let rack = &instance.rack;
        let rank = (room.rack(rack), Reverse(room.members(rack)));
        let better = best.is_none_or(|(found, _)| rank > found);
        if better && room.holds_without(rack, budget) {
            best = Some((rank, instance));
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
    /// For each instance that may be out at once: when the next visit may start
    /// in its stead, in milliseconds from now.
    pub slots_ms: Vec<u64>,
    /// Expected time out of service of one instance, in milliseconds.
    pub visit_ms: u64,
    /// Instances it could do without now.
    pub spare: u32,
}

impl PoolPace {
    /// Time until the wave is through with the pool, in milliseconds: each slot
    /// in turn takes the next visit.
    fn remaining_ms(&self) -> u64 {
        let mut slots_ms = self.slots_ms.clone();
        slots_ms.sort_unstable();
        let longest_ms = slots_ms.last().copied().unwrap_or(0);
        if self.pending == 0 {
            return longest_ms;
        }
        let width = u32::try_from(slots_ms.len()).unwrap_or(u32::MAX);
        if width == 0 {
            return STUCK_MS;
        }
        let rounds = |visits: u32| u64::from(visits.div_ceil(width)) * self.visit_ms;
        let last = usize::try_from((self.pending - 1) % width).unwrap_or(0);
        let last_ms = slots_ms[last] + rounds(self.pending);
        // Slots after the last visit's have one visit less.
        last_ms.max(longest_ms + rounds(self.pending + 1) - self.visit_ms)
    }

    /// The pool with one free slot less.
    fn lent(&self) -> Self {
        let mut lent = self.clone();
        let free = lent.slots_ms.iter().position(|ms| *ms == 0);
        if let Some(free) = free {
            lent.slots_ms.swap_remove(free);
        }
        lent.spare = lent.spare.saturating_sub(1);
        lent
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

/// The next loan worth its cost, if any; a lent instance arrives `drain_ms` later.
///
/// Several pools may be last together, where one loan alone wins nothing; so up
/// to [`LOANS_MAX`] are weighed as a set, and the first of the best set is made.
/// What a loan wins counts only beyond the noise of [`NOISE_PERCENT`]: without
/// that, chance alone made pools lend to each other in turn (a trial of 50
/// instances: 6 moves that won 0.2 of 30 minutes).
pub fn next_loan(
    paces: &[PoolPace],
    weights: &WaveWeights,
    drain_ms: u64,
    spread_percent: u32,
) -> Option<Loan> {
    let (from, to) = pair(paces)?;
    let first = (paces[from].pool.clone(), paces[to].pool.clone());
    // Of two stuck pools and one spare instance, no set of loans frees both; the
    // first must not wait for the second.
    if paces[to].slots_ms.is_empty() {
        let (from, to) = first;
        let won_ms = STUCK_MS;
        return Some(Loan { from, to, won_ms });
    }
    let spread = u64::from(spread_percent) * NOISE_PERCENT;
    let noise_ms = paces[to].visit_ms * spread / 10_000;
    let before_ms = last_ms(paces).saturating_sub(noise_ms);
    let mut paces = paces.to_vec();
    let mut best: Option<(u64, u64)> = None;
    for loans in 1..=LOANS_MAX {
        let Some((from, to)) = pair(&paces) else {
            break;
        };
        paces[from] = paces[from].lent();
        paces[to].slots_ms.push(drain_ms);
        let after_ms = last_ms(&paces);
        let won_ms = before_ms.saturating_sub(after_ms);
        let cost = weights.loan_cost(loans, after_ms);
        let gain = weights.rollout_cost(won_ms).saturating_sub(cost);
        if gain > best.map_or(0, |(gain, _)| gain) {
            best = Some((gain, won_ms));
        }
    }
    let (_, won_ms) = best?;
    let (from, to) = first;
    Some(Loan { from, to, won_ms })
}

/// Takes a pool off the donors: none of its instances would give the borrower room.
pub fn no_spare(paces: &mut [PoolPace], pool: &PoolName) {
    for pace in paces.iter_mut().filter(|pace| pace.pool == *pool) {
        pace.spare = 0;
    }
}

fn last_ms(paces: &[PoolPace]) -> u64 {
    let each = paces.iter().map(PoolPace::remaining_ms);
    each.max().unwrap_or(0)
}

/// The pool that lends with the least harm, and the one that is last.
fn pair(paces: &[PoolPace]) -> Option<(usize, usize)> {
    let mut last: Option<(u64, usize)> = None;
    for (i, pace) in paces.iter().enumerate() {
        let ms = pace.remaining_ms();
        if pace.pending > 0 && last.is_none_or(|(found, _)| ms > found) {
            last = Some((ms, i));
        }
    }
    let (last_ms, to) = last?;
    let donors = paces.iter().enumerate();
    let donors = donors.filter(|(i, pace)| *i != to && pace.spare > 0);
    let donors = donors.map(|(i, pace)| (pace.lent().remaining_ms(), i));
    let (donor_ms, from) = donors.min()?;
    (donor_ms < last_ms).then_some((from, to))
}
