//! The outcome of each request, as its caller sees it.

use super::super::Request;
use crate::model::RefusalReason;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The caller got a complete answer.
    Answered,
    /// The caller got an answer that reports a failure.
    FailureAnswered,
    /// The request was refused and did not run.
    Refused(RefusalReason),
    /// The outcome is unknown; the request may have run.
    Unknown,
}

/// Record of one request: its attempts, runs and outcome.
#[derive(Clone, Debug)]
pub struct Account {
    /// The request.
    pub request: Request,
    /// Time of its arrival, in milliseconds.
    pub arrived_ms: u64,
    /// Run time on a worker without slowdown, in milliseconds.
    pub run_ms: u64,
    /// Time in milliseconds at which it ended, and how.
    pub ended: Option<(u64, Ending)>,
    /// Number of final answers; more than one is a fault of the dispatcher.
    pub answers: u32,
    /// Number of times a worker started it.
    pub runs: u32,
    /// Number of times it was sent to a worker.
    pub dispatches: u32,
    pub(super) entry: usize,
}

impl Account {
    /// Returns whether the caller got a complete answer by its deadline.
    pub fn is_good(&self) -> bool {
        self.ended
            .is_some_and(|(at, end)| end == Ending::Answered && at <= self.request.deadline_ms)
    }

    /// Returns the time from arrival to the final answer, in milliseconds.
    pub fn latency_ms(&self) -> Option<u64> {
        self.ended.map(|(at, _)| at - self.arrived_ms)
    }
}
