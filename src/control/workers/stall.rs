//! Detection of stalled runs.
//!
//! A worker may report that it is healthy while its tasks make no progress. Their jobs
//! would never end, and the worker's room would stay taken. Stalls show in the progress
//! that workers list with every lease renewal. Runs that are only slow are left alone:
//! estimates are off by a multiple, and restarting runs that exceed them made more jobs
//! late than the slow workers did (a third of the long ones, on a day with both stalled
//! and slow workers).
//!
//! Progress is listed in whole percent, so a long run shows none for a while although it works.
//! How long depends on its length, which is known from its own progress so far, or before the
//! first one from the estimate. Estimates may be wrong by any factor. A task whose run was stopped
//! as stalled gets twice as long each time, so that it ends in any case.

use crate::control::{RunView, RunsPolicy};

/// Steps of progress of a sound run that may be missing before the run counts as stalled. A
/// worker may turn slower during a run.
const MISSING_PERCENT_MAX: u64 = 4;
/// Age that listed progress may have: the time for which a worker holds a renewal.
const LISTING_AGE_MS: u64 = 1_000;
/// Largest number of doublings.
const MAX_DOUBLINGS: u32 = 24;

/// Returns whether a run has made no progress for longer than a sound run of its length may, and
/// for the policy's `still_ms` at least.
pub fn is_stalled(now_ms: u64, view: &RunView, policy: &RunsPolicy) -> bool {
    let progress = view.progress.filter(|_| policy.still_ms > 0);
    progress.is_some_and(|p| now_ms >= p.changed_ms.saturating_add(longest_still_ms(view, policy)))
}

fn longest_still_ms(view: &RunView, policy: &RunsPolicy) -> u64 {
    let sound_ms = view.percent_ms().saturating_mul(MISSING_PERCENT_MAX);
    let still_ms = policy.still_ms.max(sound_ms.saturating_add(LISTING_AGE_MS));
    still_ms.saturating_mul(1 << view.stalls.min(MAX_DOUBLINGS))
}
