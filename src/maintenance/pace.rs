//! Scheduling of a wave: which instance to visit next, and whether to lend an
//! instance to the pool that finishes last. The planner and the controller use
//! the same functions, so that the controller follows the plan as long as nothing
//! fails.

use std::cmp::Reverse;

use crate::model::{Budget, FailureDomain, Instance, PoolName};

use super::{Room, WaveWeights};

/// Remaining time assumed for a pool without any room. A day is longer than any
/// wave is allowed to wait, so that a loan is worth its moves under all weights.
const STUCK_POOL_MS: u64 = 24 * 3_600_000;

/// Most loans evaluated as one set. With more than the size of a rack, the donors'
/// missing instances would be a larger risk than a longer wave.
const MAX_LOANS_PER_SET: u32 = 4;

/// Time that a loan must save beyond its cost, in percent of one visit's spread.
/// With weights for roll-out time, 100 led to 1.8 times the fewest moves possible,
/// 150 to the fewest moves for 0.7 minutes more, and 300 to no loans at all (means
/// of ten runs of `measure waves`).
const LOAN_NOISE_PERCENT: u64 = 150;

/// Returns the next instance to take out of a pool, or none if the budget has no
/// room.
///
/// Under a budget that survives a rack, the rack with the most serving instances
/// goes first: while it is the only largest one, the worst loss shrinks with each
/// visit, which therefore costs no room. Among racks of equal size, the one with
/// the fewest members goes first: two visits in a large rack give that room for
/// twice as long one after the other as at the same time.
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
        let rank = (room.serving_in(rack), Reverse(room.members_in(rack)));
        let better = best.is_none_or(|(found, _)| rank > found);
        if better && room.holds_without(rack, budget) {
            best = Some((rank, instance));
        }
    }
    best.map(|(_, instance)| instance)
}

/// Progress of a wave in one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolProgress {
    /// The pool.
    pub pool: PoolName,
    /// Number of instances not visited yet.
    pub pending: u32,
    /// For each instance that may be out at the same time: when its slot is free
    /// for the next visit, in milliseconds from now.
    pub slots_ms: Vec<u64>,
    /// Expected time out of service of one instance, in milliseconds.
    pub visit_ms: u64,
    /// Number of instances that it could lend now.
    pub spare: u32,
}

impl PoolProgress {
    /// Time until all visits in the pool are done, in milliseconds. The next visit
    /// always takes the slot that is free first.
    fn remaining_ms(&self) -> u64 {
        let mut slots_ms = self.slots_ms.clone();
        slots_ms.sort_unstable();
        let longest_ms = slots_ms.last().copied().unwrap_or(0);
        if self.pending == 0 {
            return longest_ms;
        }
        let width = u32::try_from(slots_ms.len()).unwrap_or(u32::MAX);
        if width == 0 {
            return STUCK_POOL_MS;
        }
        let rounds = |visits: u32| u64::from(visits.div_ceil(width)) * self.visit_ms;
        let last = usize::try_from((self.pending - 1) % width).unwrap_or(0);
        let last_ms = slots_ms[last] + rounds(self.pending);
        // The slots after the one of the last visit have one visit less.
        last_ms.max(longest_ms + rounds(self.pending + 1) - self.visit_ms)
    }

    /// Returns the pool with one free slot and one spare instance less.
    fn after_lending(&self) -> Self {
        let mut lent = self.clone();
        let free = lent.slots_ms.iter().position(|ms| *ms == 0);
        if let Some(free) = free {
            lent.slots_ms.swap_remove(free);
        }
        lent.spare = lent.spare.saturating_sub(1);
        lent
    }
}

/// A loan of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// The pool that lends.
    pub from: PoolName,
    /// The pool that borrows: the one that finishes last.
    pub to: PoolName,
    /// Roll-out time saved by the set of loans that this one belongs to, in
    /// milliseconds.
    pub saved_ms: u64,
}

/// Returns the next loan worth its cost, if any. A lent instance arrives
/// `drain_ms` later.
///
/// When several pools finish last at the same time, one loan alone saves nothing.
/// Therefore up to [`MAX_LOANS_PER_SET`] loans are evaluated as a set, and the first
/// of the best set is returned. Saved time counts only beyond
/// [`LOAN_NOISE_PERCENT`]: otherwise random variation alone makes pools lend to
/// each other in turn (with 50 instances: 6 moves that saved 0.2 of 30 minutes).
pub fn next_loan(
    progress: &[PoolProgress],
    weights: &WaveWeights,
    drain_ms: u64,
    spread_percent: u32,
) -> Option<Loan> {
    let (from, to) = donor_and_borrower(progress)?;
    let first = (progress[from].pool.clone(), progress[to].pool.clone());
    // With two pools without room and one spare instance, no set of loans helps
    // both; the first must not wait for the second.
    if progress[to].slots_ms.is_empty() {
        let (from, to) = first;
        let saved_ms = STUCK_POOL_MS;
        return Some(Loan { from, to, saved_ms });
    }
    let spread = u64::from(spread_percent) * LOAN_NOISE_PERCENT;
    let noise_ms = progress[to].visit_ms * spread / 10_000;
    let before_ms = rollout_ms(progress).saturating_sub(noise_ms);
    let mut progress = progress.to_vec();
    let mut best: Option<(u64, u64)> = None;
    for loans in 1..=MAX_LOANS_PER_SET {
        let Some((from, to)) = donor_and_borrower(&progress) else {
            break;
        };
        progress[from] = progress[from].after_lending();
        progress[to].slots_ms.push(drain_ms);
        let after_ms = rollout_ms(&progress);
        let saved_ms = before_ms.saturating_sub(after_ms);
        let cost = weights.loan_cost(loans, after_ms);
        let gain = weights.rollout_cost(saved_ms).saturating_sub(cost);
        if gain > best.map_or(0, |(gain, _)| gain) {
            best = Some((gain, saved_ms));
        }
    }
    let (_, saved_ms) = best?;
    let (from, to) = first;
    Some(Loan { from, to, saved_ms })
}

/// Excludes a pool as donor, because none of its instances can be lent.
pub fn exclude_donor(progress: &mut [PoolProgress], pool: &PoolName) {
    for p in progress.iter_mut().filter(|p| p.pool == *pool) {
        p.spare = 0;
    }
}

fn rollout_ms(progress: &[PoolProgress]) -> u64 {
    let each = progress.iter().map(PoolProgress::remaining_ms);
    each.max().unwrap_or(0)
}

/// Returns the indexes of the donor that finishes first after lending and of the
/// pool that finishes last, or none if no loan helps.
fn donor_and_borrower(progress: &[PoolProgress]) -> Option<(usize, usize)> {
    let mut last: Option<(u64, usize)> = None;
    for (i, p) in progress.iter().enumerate() {
        let ms = p.remaining_ms();
        if p.pending > 0 && last.is_none_or(|(found, _)| ms > found) {
            last = Some((ms, i));
        }
    }
    let (last_ms, to) = last?;
    let donors = progress.iter().enumerate();
    let donors = donors.filter(|(i, p)| *i != to && p.spare > 0);
    let donors = donors.map(|(i, p)| (p.after_lending().remaining_ms(), i));
    let (donor_ms, from) = donors.min()?;
    (donor_ms < last_ms).then_some((from, to))
}
