use super::queue::QueueKey;
use super::upstreams::Target;
use super::{AttemptId, Request};

/// A request between its arrival and its answer.
#[derive(Debug)]
pub(super) struct Tracked {
    pub request: Request,
    pub service: usize,
    pub queue_key: QueueKey,
    pub arrived_ms: u64,
    /// Wait estimated at its arrival.
    pub estimated_ms: f64,
    /// Zone chosen by the zone weights.
    pub zone: usize,
    pub phase: Phase,
    /// Number of attempts so far, which is also the number of the last one.
    pub attempts: u32,
    /// Attempts that failed, not counting refusals without a run.
    pub failures: u32,
    /// Targets of failed attempts.
    pub tried: Vec<Target>,
    /// Whether some attempt may have run it. From then on the outcome `not-run` would
    /// be wrong, and giving the request up means that its outcome is unknown.
    pub may_have_run: bool,
    /// The caller has cancelled it, so any later answer is dropped.
    pub is_cancelled: bool,
}

/// Current phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Queued.
    Waiting,
    /// In flight on an upstream.
    Running {
        /// Target of the attempt.
        to: Target,
        /// Whether the upstream was lightly loaded when it started.
        lightly_loaded: bool,
    },
}

impl Tracked {
    /// Returns the index of its class in queues and counts.
    pub(super) fn class(&self) -> usize {
        self.request.class as usize
    }

    pub(super) fn attempt(&self) -> AttemptId {
        AttemptId(self.attempts)
    }

    /// Returns the target of this attempt, and whether its upstream was lightly loaded,
    /// if the attempt is the current one.
    pub(super) fn running_on(&self, attempt: AttemptId) -> Option<(Target, bool)> {
        match self.phase {
            Phase::Running { to, lightly_loaded } if attempt == self.attempt() => {
                Some((to, lightly_loaded))
            }
            Phase::Running { .. } | Phase::Waiting => None,
        }
    }
}
