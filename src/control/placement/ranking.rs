//! The order of jobs when a pool has room for only some of them.
//!
//! Demand may rise to several times a pool's room for some seconds. In first-come,
//! first-served order every job is then late: each waits behind all jobs before it, and
//! the room goes to jobs that are worth little by the time they end. Instead, a job that
//! can still be on time goes before one that cannot, and among equals the job with the
//! least work left goes first, as it frees its room soonest. The jobs that lose are then
//! few and large.

use std::cmp::Ordering;

use super::service_class::{Remaining, ServiceClass};
use crate::control::{OrderPolicy, Queue};
use crate::jobs::Job;

/// Sort key of a job in the backlog; the smallest comes first.
#[derive(Clone, Copy, Debug)]
pub struct Rank {
    class: ServiceClass,
    /// Order within the class.
    key: f64,
}

/// Returns the rank of a job, and the time in milliseconds since 1970 at which the rank
/// changes though nothing of the job does, if it ever does.
pub fn rank_job(
    now_unix_ms: u64,
    job: &Job,
    queue: Option<&Queue>,
    due_unix_ms: u64,
    remaining: &Remaining,
    policy: &OrderPolicy,
) -> (Rank, Option<u64>) {
    let (class, until_unix_ms) =
        ServiceClass::of(now_unix_ms, queue, due_unix_ms, remaining, policy);
    let key = match policy.least_work {
        _ if remaining.lasts => job.accepted_unix_ms as f64,
        true if job.placements > 0 => remaining.work * policy.begun_part,
        true => remaining.work,
        false => due_unix_ms as f64,
    };
    (Rank { class, key }, until_unix_ms)
}

impl Rank {
    /// Returns whether two jobs are in the same class and not lasting, so that small and
    /// large ones among them share the room.
    pub fn shares_room_with(&self, other: &Self) -> bool {
        self.class == other.class && !self.class.is_lasting()
    }

    /// Returns the priority class.
    pub(super) fn class(&self) -> ServiceClass {
        self.class
    }
}

impl Ord for Rank {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_class = self.class.cmp(&other.class);
        by_class.then(self.key.total_cmp(&other.key))
    }
}

impl PartialOrd for Rank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Rank {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Rank {}
