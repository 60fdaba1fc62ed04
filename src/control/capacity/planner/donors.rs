//! Which pool gives a machine to another.

use super::balance::{Balance, Purpose};
use crate::control::WorkerUse;

/// Takes a machine out of the pool with the largest surplus. With `idle` only a machine on which
/// nothing runs qualifies; it arrives a second earlier than one that must be drained.
pub(super) fn take_surplus<'a>(
    pools: &mut [Balance],
    spare: &mut [Vec<&'a WorkerUse<'a>>],
    purpose: Purpose,
    idle: bool,
) -> Option<(&'a WorkerUse<'a>, &'a str)> {
    // A machine whose drain was given up in this tick is already spare, but its pool counts
    // it only from the next tick on. Without the first condition a pool with incoming
    // machines could give more than it counts, and `has` would underflow (a panic in builds
    // with overflow checks).
    let has_surplus = |p: &usize| pools[*p].has > 0 && pools[*p].surplus(purpose) > 0;
    let donors = (0..pools.len()).filter(has_surplus);
    let fits = |p: &usize| {
        let soonest = spare[*p].last();
        soonest.is_some_and(|worker| !idle || worker.passing == 0)
    };
    let donor = donors
        .filter(fits)
        .max_by_key(|p| pools[*p].surplus(purpose))?;
    let worker = spare[donor].pop()?;
    let machine = worker.machine?;
    pools[donor].has -= 1;
    Some((worker, machine))
}
