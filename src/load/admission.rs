//! What is let in at the door.
//!
//! Pattern of load: saturation at 2 and 5 times capacity. Without a door the
//! queue grows until every request in it is served after its deadline: all slots
//! are busy and no caller gets an answer in time. With a door that only counts,
//! a queue of 100 is too short for work of 1 ms and too long for work of 10 s.
//!
//! What cannot be answered in time is refused at once, with when to come back.
//! The wait is the number of requests that go before this one, by the fair order
//! of its team and caller, times the learnt run time, over how many run at once
//! (Little's law: in a queue that is not empty, what runs is what can run).
//! With the learnt margin (see `wait_error`), and a run time that few requests exceed, it must fit the
//! deadline: of what is let in, hardly any is then given up later.
//!
//! A service whose learnt run time alone exceeds the deadline is still given one
//! request at a time: refused for good, it could never be seen to be faster.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::model::RefusalReason;

/// Requests of a service and class that may wait, whatever the time: bounds
/// memory when the run time is learnt wrong. About 30 MB.
const QUEUE_MAX: usize = 65_536;

/// Shortest time to come back in: below it callers only knock.
const RETRY_AFTER_MIN_MS: f64 = 100.0;

/// Longest time to come back in: load changes within a minute.
const RETRY_AFTER_MAX_MS: f64 = 60_000.0;

/// A request at the door, and what it would meet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// Time left to its deadline.
    pub left_ms: u64,
    /// Estimated wait in the queue.
    pub wait_ms: f64,
    /// What the wait is multiplied with to be on the safe side.
    pub margin: f64,
    /// Mean run time; 0 where nothing is learnt.
    pub run_ms: f64,
    /// Run time that few requests exceed; 0 where nothing is learnt.
    pub run_high_ms: f64,
    /// Longest wait by the rows.
    pub queue_ms: Option<u64>,
    /// Requests that wait before it, of any caller.
    pub queued: usize,
    /// No request of its service runs.
    pub is_only: bool,
    /// Its team has all it may have in flight.
    pub is_over_quota: bool,
}

impl Arrival {
    /// Lets it in, or says why not.
    pub(super) fn verdict(&self) -> Result<(), RefusalReason> {
        if self.left_ms == 0 {
            return Err(RefusalReason::Deadline);
        }
        if self.wait_ms > 0.0 && self.waits_too_long() {
            return Err(self.too_slow(RefusalReason::Deadline));
        }
        if self.run_ms > self.left_ms as f64 && !self.is_only {
            return Err(RefusalReason::Deadline);
        }
        if self.queue_ms.is_some_and(|max| self.wait_ms > max as f64) || self.queued >= QUEUE_MAX {
            return Err(self.too_slow(RefusalReason::QueueFull));
        }
        Ok(())
    }

    fn waits_too_long(&self) -> bool {
        let left_ms = self.left_ms as f64;
        // Where runs vary so much that the long ones never make it, the mean
        // decides: else a service of mixed work would be closed by its tail.
        let run_ms = if self.run_high_ms < left_ms {
            self.run_high_ms
        } else {
            self.run_ms
        };
        self.wait_ms * self.margin + run_ms > left_ms
    }

    fn too_slow(&self, reason: RefusalReason) -> RefusalReason {
        if self.is_over_quota {
            RefusalReason::TeamQuota
        } else {
            reason
        }
    }
}

/// When to come back after a refusal: when what waits now has drained, plus up
/// to half as much again by chance, so that those refused together do not come
/// back together.
pub(super) fn retry_after_ms(wait_ms: f64, rng: &mut ChaCha8Rng) -> u64 {
    let spread = 1.0 + 0.5 * rng.random::<f64>();
    (wait_ms.max(RETRY_AFTER_MIN_MS) * spread).min(RETRY_AFTER_MAX_MS) as u64
}
