use std::collections::BTreeMap;

use super::advice_request::AdviceRequest;
use super::orders::ORDER_TIMEOUT_MS;
use crate::jobs::TaskId;

/// Maximum number of concurrent requests to the advisor, which refuses the 32nd that is queued.
const MAX_REQUESTS: usize = 6;
/// Longest time for which several open requests may keep the advisor busy, in percent of the
/// validity of a ticket. A longer queue answers no request sooner, and a step of a higher rank
/// would wait behind it.
const MAX_QUEUE_PERCENT: u64 = 50;
/// How much longer than stated an answer may take.
const TIMEOUT_FACTOR: u64 = 2;

/// The requests to the advisor without an answer. It handles those of one instance in turn.
#[derive(Debug, Default)]
pub(super) struct AdviceRequests {
    open: BTreeMap<u64, AdviceRequest>,
}

impl AdviceRequests {
    /// Returns the number of open requests.
    pub(super) fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether a request about the step is open.
    pub(super) fn contains(&self, step: TaskId) -> bool {
        self.open.values().any(|request| request.step == step)
    }

    /// Returns whether a request may be sent beside those that are open.
    pub(super) fn may_send(&self, request: &AdviceRequest) -> bool {
        let queue_ms = self.queue_ms() + request.takes_ms;
        let fits = queue_ms <= request.validity_ms * MAX_QUEUE_PERCENT / 100;
        self.open.is_empty() || (fits && self.open.len() < MAX_REQUESTS)
    }

    /// Adds a request that is sent now. Returns how long its answer is awaited, which includes
    /// the time for the requests before it.
    pub(super) fn add(&mut self, id: u64, request: AdviceRequest) -> u64 {
        self.open.insert(id, request);
        self.queue_ms() * TIMEOUT_FACTOR + ORDER_TIMEOUT_MS
    }

    /// Removes a request that has an answer, or gets none.
    pub(super) fn remove(&mut self, id: u64) -> Option<AdviceRequest> {
        self.open.remove(&id)
    }

    /// Returns for how long the open requests keep the advisor busy at most.
    fn queue_ms(&self) -> u64 {
        self.open.values().map(|request| request.takes_ms).sum()
    }
}
