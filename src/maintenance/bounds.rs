//! Lower bounds on the duration and the moves of a wave. No schedule can beat
//! them, even one that knows all visit times in advance.

use crate::model::{Budget, FailureDomain, RackName};

use super::Room;

/// Number of largest racks evaluated for a bound; more improve it little.
const MAX_RACKS_CHECKED: usize = 4;

/// One pool's share of a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolVisits {
    /// The visits.
    pub visits: Vec<Visit>,
    /// The serving instances when the wave starts.
    pub room: Room,
    /// The pool's budget.
    pub budget: Budget,
}

/// One instance's time out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Visit {
    /// Its rack.
    pub rack: RackName,
    /// Duration in milliseconds.
    pub takes_ms: u64,
}

impl PoolVisits {
    /// Returns the shortest time for all visits with `lent` borrowed instances, in
    /// milliseconds, or none if the budget never allows them.
    ///
    /// Under a budget that survives a rack, the instances out in all other racks
    /// may be no more than the loss of any one rack leaves to spare. This bounds
    /// the visits to the other racks, whenever that rack itself is visited.
    pub fn bound_ms(&self, lent: u32) -> Option<u64> {
        let all = self.durations_ms(None);
        let width = self.room.width_bound(&self.budget) + lent;
        let mut bound_ms = visits_bound_ms(all, width)?;
        if self.budget.survive == FailureDomain::Rack {
            let (size, racks) = self.room.largest_racks();
            let serving = self.room.serving() + lent;
            let width = serving.saturating_sub(self.budget.min_available + size);
            for rack in racks.take(MAX_RACKS_CHECKED) {
                let others = self.durations_ms(Some(rack));
                bound_ms = bound_ms.max(visits_bound_ms(others, width)?);
            }
        }
        Some(bound_ms)
    }

    fn durations_ms(&self, without: Option<&RackName>) -> Vec<u64> {
        let visits = self.visits.iter();
        let visits = visits.filter(|visit| Some(&visit.rack) != without);
        visits.map(|visit| visit.takes_ms).collect()
    }

    /// Number of instances that could be out at once if moves spread the pool over
    /// racks ideally.
    fn ideal_width(&self) -> u32 {
        let reserve = match self.budget.survive {
            FailureDomain::None => 0,
            FailureDomain::Instance | FailureDomain::Rack => 1,
        };
        let serving = self.room.serving();
        serving.saturating_sub(self.budget.min_available + reserve)
    }
}

/// Returns a lower bound on the time for visits of the given durations, `width` of
/// them in parallel, in milliseconds, or none if `width` is 0.
///
/// It is the largest of three bounds: the longest visit; the total divided by the
/// width; and, for each k, the sum of the k + 1 shortest of the k·width + 1 longest
/// visits, of which some k + 1 must run one after the other.
pub fn visits_bound_ms(mut durations_ms: Vec<u64>, width: u32) -> Option<u64> {
    if durations_ms.is_empty() {
        return Some(0);
    }
    if width == 0 {
        return None;
    }
    durations_ms.sort_unstable_by(|a, b| b.cmp(a));
    let total_ms: u64 = durations_ms.iter().sum();
    let mut bound_ms = durations_ms[0].max(total_ms.div_ceil(u64::from(width)));
    let width = usize::try_from(width).unwrap_or(usize::MAX);
    let mut k = 1;
    while let Some(end) = width.checked_mul(k).filter(|end| *end < durations_ms.len()) {
        let chain_ms = durations_ms[end - k..=end].iter().sum();
        bound_ms = bound_ms.max(chain_ms);
        k += 1;
    }
    Some(bound_ms)
}

/// Returns a lower bound on the roll-out time in milliseconds, or none if a pool
/// stays without room. `loans` instances are lent from the start, each to the pool
/// that finishes last; the result is at least the bound for all pools as one.
pub fn rollout_bound_ms(pools: &[PoolVisits], loans: u32) -> Option<u64> {
    let mut lent = vec![0; pools.len()];
    for _ in 0..loans {
        let bounds = pools
            .iter()
            .zip(&lent)
            .map(|(pool, lent)| pool.bound_ms(*lent));
        // A pool without room finishes after all others.
        let bounds = bounds.map(|ms| ms.unwrap_or(u64::MAX)).enumerate();
        let (last, _) = bounds.max_by_key(|(_, ms)| *ms)?;
        lent[last] += 1;
    }
    let mut longest_ms = 0;
    for (pool, lent) in pools.iter().zip(&lent) {
        longest_ms = pool.bound_ms(*lent)?.max(longest_ms);
    }
    Some(longest_ms.max(pooled_bound_ms(pools)?))
}

/// Returns the bound if moves took no time and cost nothing, in milliseconds, or
/// none if no pool has room.
fn pooled_bound_ms(pools: &[PoolVisits]) -> Option<u64> {
    let all = pools
        .iter()
        .flat_map(|pool| pool.durations_ms(None))
        .collect();
    visits_bound_ms(all, pools.iter().map(PoolVisits::ideal_width).sum())
}

/// Returns a lower bound on the moves of any schedule that takes `rollout_ms`: each
/// instance is lent from the start and returned at the end.
pub fn moves_bound(pools: &[PoolVisits], rollout_ms: u64) -> u32 {
    let each = pools.iter().map(|pool| {
        let most = u32::try_from(pool.visits.len()).unwrap_or(u32::MAX);
        let enough = |lent: &u32| pool.bound_ms(*lent).is_some_and(|ms| ms <= rollout_ms);
        2 * (0..=most).find(enough).unwrap_or(most)
    });
    each.sum()
}
