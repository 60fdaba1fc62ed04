//! Admission control.
//!
//! Load pattern: saturation at 2 to 5 times the capacity. Without admission
//! control the queue grows until every request in it is served after its
//! deadline: all slots are busy and no caller gets an answer in time. A fixed
//! bound on the number of requests does not help, since a queue of 100 is too
//! short for work of 1 ms and too long for work of 10 s.
//!
//! A request that cannot be answered in time is refused at once, with a
//! retry-after time. Its wait is estimated by Little's law: the number of
//! requests ahead of it, in the fair order of its team and caller, times the
//! learned run time, divided by the number of requests in flight. (While a
//! queue is not empty, the requests in flight are as many as can run.) The
//! estimate times the learned margin (see `wait_error`), plus a run time that
//! few requests exceed, must fit the deadline, so that hardly any admitted
//! request is given up later.
//!
//! A service whose learned run time alone exceeds the deadline still gets one
//! request at a time. If all were refused, the dispatcher could never observe
//! that the service has become faster.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::model::RefusalReason;

/// Most requests of one service and class that may wait, whatever their estimated wait.
/// Bounds memory to about 30 MB if the learned run time is wrong.
const MAX_QUEUED_REQUESTS: usize = 65_536;

/// Shortest retry-after time, in milliseconds. A shorter one only adds requests that
/// are refused again.
const MIN_RETRY_AFTER_MS: f64 = 100.0;

/// Longest retry-after time, in milliseconds: load changes within a minute.
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// An arriving request, with the load that it would meet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Time left until its deadline.
    pub left_ms: u64,
    /// Estimated wait in the queue.
    pub wait_ms: f64,
    /// Factor on the estimated wait that covers its usual error.
    pub margin: f64,
    /// Mean run time; 0 while too few samples are known.
    pub run_ms: f64,
    /// Run time that few requests exceed; 0 while too few samples are known.
    pub run_high_ms: f64,
    /// Longest wait that the rows allow.
    pub queue_ms: Option<u64>,
    /// Requests already in the queue, of any caller.
    pub queued: usize,
    /// Whether no request of its service and class is in flight.
    pub is_only: bool,
    /// Whether its team has used up its quota of requests in flight.
    pub is_over_quota: bool,
}

impl Arrival {
    /// Admits the request.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal.
    pub(super) fn check(&self) -> Result<(), RefusalReason> {
        if self.left_ms == 0 {
            return Err(RefusalReason::Deadline);
        }
        if self.wait_ms > 0.0 && self.would_miss_deadline() {
            return Err(self.quota_reason_or(RefusalReason::Deadline));
        }
        if self.run_ms > self.left_ms as f64 && !self.is_only {
            return Err(RefusalReason::Deadline);
        }
        if self.queue_ms.is_some_and(|max| self.wait_ms > max as f64)
            || self.queued >= MAX_QUEUED_REQUESTS
        {
            return Err(self.quota_reason_or(RefusalReason::QueueFull));
        }
        Ok(())
    }

    fn would_miss_deadline(&self) -> bool {
        let left_ms = self.left_ms as f64;
        // Where run times vary so much that the long ones always miss the deadline, the
        // mean decides. Otherwise a service of mixed work would be closed by its
        // slowest requests.
        let run_ms = if self.run_high_ms < left_ms {
            self.run_high_ms
        } else {
            self.run_ms
        };
        self.wait_ms * self.margin + run_ms > left_ms
    }

    /// Returns the quota as the reason if it causes the wait, otherwise the given
    /// reason.
    fn quota_reason_or(&self, reason: RefusalReason) -> RefusalReason {
        if self.is_over_quota {
            RefusalReason::TeamQuota
        } else {
            reason
        }
    }
}

/// Returns the retry-after time of a refusal: the time in which the current backlog
/// drains, plus up to half as much at random, so that requests refused together do not
/// return together.
pub(super) fn retry_after_ms(wait_ms: f64, rng: &mut ChaCha8Rng) -> u64 {
    let spread = 1.0 + 0.5 * rng.random::<f64>();
    (wait_ms.max(MIN_RETRY_AFTER_MS) * spread).min(MAX_RETRY_AFTER_MS) as u64
}
