//! Which runs stand still.
//!
//! Answers workers that are healthy by their own word while tasks on them do not move.
//! Without it their jobs never end, and the worker, ever full, holds its room. Progress
//! tells: it is listed with every renewal. Runs that merely look slow are left alone:
//! estimates are off by a multiple, and restarts by them made more jobs late than the
//! slow workers did (a third of the long ones, on a day with stalled and slow workers).

use super::{RunView, RunsPolicy};

/// Whether a run stands still.
pub fn is_stalled(now_ms: u64, view: &RunView, policy: &RunsPolicy) -> bool {
    let progress = view.progress.filter(|_| policy.still_ms > 0);
    progress.is_some_and(|p| now_ms >= p.changed_ms + policy.still_ms)
}
