use super::queue::Ticket;
use super::upstreams::Target;
use super::{AttemptId, Request};

/// A request between its arrival and its answer.
#[derive(Debug)]
pub(super) struct Tracked {
    pub request: Request,
    pub service: usize,
    pub ticket: Ticket,
    pub arrived_ms: u64,
    /// Wait that was expected when it arrived.
    pub estimated_ms: f64,
    /// Zone its weights name.
    pub zone: usize,
    pub phase: Phase,
    /// Attempts so far; the last one's number.
    pub attempts: u32,
    /// Attempts that failed other than by a refusal in good order.
    pub failures: u32,
    /// Where earlier attempts failed.
    pub tried: Vec<Target>,
    /// Some attempt may have run it. From then on `not-run` would be a lie, and
    /// giving it up means that its outcome is unknown.
    pub may_have_run: bool,
    /// The caller is gone: whatever comes is dropped.
    pub is_cancelled: bool,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// In its queue.
    Waiting,
    /// On an upstream.
    Running {
        /// Where.
        to: Target,
        /// Whether the upstream was hardly used when it started.
        calm: bool,
    },
}

impl Tracked {
    /// Index of its class in queues and counts.
    pub(super) fn class(&self) -> usize {
        self.request.class as usize
    }

    pub(super) fn attempt(&self) -> AttemptId {
        AttemptId(self.attempts)
    }

    /// Where this attempt runs, if it is the present one.
    pub(super) fn runs(&self, attempt: AttemptId) -> Option<(Target, bool)> {
        match self.phase {
            Phase::Running { to, calm } if attempt == self.attempt() => Some((to, calm)),
            Phase::Running { .. } | Phase::Waiting => None,
        }
    }
}
