//! What became of each request, as its caller saw it.

use super::super::Request;
use crate::model::RefusalReason;

/// How a request ended, for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer.
    Answered,
    /// An answer that tells of a failure.
    FailureAnswered,
    /// Not run.
    Refused(RefusalReason),
    /// May have run.
    Unknown,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Account {
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub arrived_ms: u64,
    /// Time it runs on a worker as fast as its pool.
    pub run_ms: u64,
    /// When and how it ended.
    pub ended: Option<(u64, Ending)>,
    /// Final answers; more than one is a fault of the dispatcher.
    pub answers: u32,
    /// Times a worker started it.
    pub runs: u32,
    /// Times it was sent out.
    pub dispatches: u32,
    pub(super) entry: usize,
}

impl Account {
    /// Whether the caller got a whole answer before its deadline.
    pub fn is_good(&self) -> bool {
        self.ended
            .is_some_and(|(at, end)| end == Ending::Answered && at <= self.request.deadline_ms)
    }

    /// Time to the final answer, in milliseconds.
    pub fn latency_ms(&self) -> Option<u64> {
        self.ended.map(|(at, _)| at - self.arrived_ms)
    }
}
