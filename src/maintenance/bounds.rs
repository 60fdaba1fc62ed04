//! Lower bounds that no schedule of a wave can beat, whatever it knows.

use crate::model::{Budget, FailureDomain, RackName};

use super::Room;

/// Largest racks looked at for a bound; more make it no better by much.
const RACKS_MAX: usize = 4;

/// One pool's share of a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolVisits {
    /// The visits.
    pub visits: Vec<Visit>,
    /// What serves when the wave starts.
    pub room: Room,
    /// The pool's budget.
    pub budget: Budget,
}

/// One instance's time out of service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Visit {
    /// Its rack.
    pub rack: RackName,
    /// How long, in milliseconds.
    pub takes_ms: u64,
}

impl PoolVisits {
    /// The shortest time with `lent` instances more, in milliseconds; none if
    /// it cannot be done.
    ///
    /// Under a budget that survives a rack, what is out beside any one rack may
    /// be no more than the room left by that rack's loss, whenever it is out
    /// itself: that bounds the visits to all others.
    pub fn bound_ms(&self, lent: u32) -> Option<u64> {
        let all = self.takes_ms(None);
        let width = self.room.width_bound(&self.budget) + lent;
        let mut bound_ms = visits_bound_ms(all, width)?;
        if self.budget.survive == FailureDomain::Rack {
            let (size, racks) = self.room.worst_racks();
            let serving = self.room.serving() + lent;
            let width = serving.saturating_sub(self.budget.min_available + size);
            for rack in racks.take(RACKS_MAX) {
                let others = self.takes_ms(Some(rack));
                bound_ms = bound_ms.max(visits_bound_ms(others, width)?);
            }
        }
        Some(bound_ms)
    }

    fn takes_ms(&self, without: Option<&RackName>) -> Vec<u64> {
        let visits = self.visits.iter();
        let visits = visits.filter(|visit| Some(&visit.rack) != without);
        visits.map(|visit| visit.takes_ms).collect()
    }

    /// Instances that could be out at once if moves spread them ideally.
    fn ideal_width(&self) -> u32 {
        let reserve = match self.budget.survive {
            FailureDomain::None => 0,
            FailureDomain::Instance | FailureDomain::Rack => 1,
        };
        let serving = self.room.serving();
        serving.saturating_sub(self.budget.min_available + reserve)
    }
}

/// The shortest time in which `width` at once can make the visits, in
/// milliseconds; none if nothing may be out.
///
/// The larger of three bounds: the longest visit, the total over the width, and,
/// for each k, the k + 1 shortest of the k·width + 1 longest, of which k + 1
/// must follow each other.
pub fn visits_bound_ms(mut takes_ms: Vec<u64>, width: u32) -> Option<u64> {
    if takes_ms.is_empty() {
        return Some(0);
    }
    if width == 0 {
        return None;
    }
    takes_ms.sort_unstable_by(|a, b| b.cmp(a));
    let total_ms: u64 = takes_ms.iter().sum();
    let mut bound_ms = takes_ms[0].max(total_ms.div_ceil(u64::from(width)));
    let width = usize::try_from(width).unwrap_or(usize::MAX);
    let mut k = 1;
    while let Some(end) = width.checked_mul(k).filter(|end| *end < takes_ms.len()) {
        let chain_ms = takes_ms[end - k..=end].iter().sum();
        bound_ms = bound_ms.max(chain_ms);
        k += 1;
    }
    Some(bound_ms)
}

/// The shortest roll-out with `loans` instances lent, each from the first moment
/// on, to the pools that are last, and no shorter than if all room were one
/// pool's; in milliseconds. None if a pool stays stuck.
pub fn rollout_bound_ms(pools: &[PoolVisits], loans: u32) -> Option<u64> {
    let mut lent = vec![0; pools.len()];
    for _ in 0..loans {
        let bounds = pools
            .iter()
            .zip(&lent)
            .map(|(pool, lent)| pool.bound_ms(*lent));
        // A stuck pool is later than any other.
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

/// The shortest roll-out if instances could move at once and for nothing, in
/// milliseconds; none if no pool has room.
fn pooled_bound_ms(pools: &[PoolVisits]) -> Option<u64> {
    let all = pools.iter().flat_map(|pool| pool.takes_ms(None)).collect();
    visits_bound_ms(all, pools.iter().map(PoolVisits::ideal_width).sum())
}

/// The fewest moves with which any schedule could be done in `rollout_ms`: each
/// instance lent from the first moment on, and taken back at the end.
pub fn moves_bound(pools: &[PoolVisits], rollout_ms: u64) -> u32 {
    let each = pools.iter().map(|pool| {
        let most = u32::try_from(pool.visits.len()).unwrap_or(u32::MAX);
        let enough = |lent: &u32| pool.bound_ms(*lent).is_some_and(|ms| ms <= rollout_ms);
        2 * (0..=most).find(enough).unwrap_or(most)
    });
    each.sum()
}
