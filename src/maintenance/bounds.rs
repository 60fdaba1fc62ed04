//! Lower bounds that no schedule of a wave can beat, whatever it knows.

/// One pool's share of a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolVisits {
    /// Time out of service of each instance, in milliseconds.
    pub visits_ms: Vec<u64>,
    /// Instances that may be out at once, at most.
    pub width: u32,
}

/// The shortest time in which `width` at once can make the visits, in
/// milliseconds; none if nothing may be out.
///
/// The larger of three bounds: the longest visit, the total over the width, and,
/// for each k, the k + 1 shortest of the k·width + 1 longest, of which k + 1
/// must follow each other.
pub fn visits_bound_ms(visits_ms: &[u64], width: u32) -> Option<u64> {
    if visits_ms.is_empty() {
        return Some(0);
    }
    if width == 0 {
        return None;
    }
    let mut sorted = visits_ms.to_vec();
    sorted.sort_unstable_by(|a, b| b.cmp(a));
    let total: u64 = sorted.iter().sum();
    let mut bound = sorted[0].max(total.div_ceil(u64::from(width)));
    let width = usize::try_from(width).unwrap_or(usize::MAX);
    let mut k = 1;
    while let Some(end) = width.checked_mul(k).filter(|end| *end < sorted.len()) {
        let chain: u64 = sorted[end - k..=end].iter().sum();
        bound = bound.max(chain);
        k += 1;
    }
    Some(bound)
}

/// The shortest roll-out without moves, in milliseconds; none if a pool is stuck.
pub fn rollout_bound_ms(pools: &[PoolVisits]) -> Option<u64> {
    let mut each = pools.iter().map(|p| visits_bound_ms(&p.visits_ms, p.width));
    each.try_fold(0, |longest, bound| Some(longest.max(bound?)))
}

/// The shortest roll-out if instances could move at once and for nothing, in
/// milliseconds; none if no pool has room.
pub fn pooled_bound_ms(pools: &[PoolVisits]) -> Option<u64> {
    let all: Vec<u64> = pools.iter().flat_map(|p| p.visits_ms.clone()).collect();
    visits_bound_ms(&all, pools.iter().map(|p| p.width).sum())
}

/// The fewest moves with which any schedule could be done in `rollout_ms`: each
/// instance lent from the first moment on, and taken back at the end.
pub fn moves_bound(pools: &[PoolVisits], rollout_ms: u64) -> u32 {
    let each = pools.iter().map(|pool| {
        let most = u32::try_from(pool.visits_ms.len()).unwrap_or(u32::MAX);
        let enough = |lent: &u32| {
            let bound = visits_bound_ms(&pool.visits_ms, pool.width + lent);
            bound.is_some_and(|ms| ms <= rollout_ms)
        };
        2 * (0..=most).find(enough).unwrap_or(most)
    });
    each.sum()
}
