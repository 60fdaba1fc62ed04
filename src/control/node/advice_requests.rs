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
/// How much longer than stated an answer may take. It doubles with each failure: a slow advisor
/// still handles the requests that were given up.
const TIMEOUT_FACTOR: u64 = 2;
/// Maximum number of times that the factor is doubled.
const MAX_TIMEOUT_DOUBLINGS: usize = 3;
/// Backoff after failures. An advisor that refuses fails each request within milliseconds.
const RETRY_DELAYS_MS: [u64; 5] = [100, 200, 400, 800, 1_600];

/// The requests to the advisor without an answer. It handles those of one instance in turn.
#[derive(Debug, Default)]
pub(super) struct AdviceRequests {
    open: BTreeMap<u64, AdviceRequest>,
    /// Number of failures since the last answer. Requests that fail during a backoff were sent
    /// before it, and do not count.
    failures: usize,
    /// End of the backoff.
    retry_ms: u64,
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

    /// Returns whether a request may be sent now, beside those that are open.
    pub(super) fn may_send(&self, now_ms: u64, request: &AdviceRequest) -> bool {
        if now_ms < self.retry_ms {
            return false;
        }
        let queue_ms = self.queue_ms() + request.takes_ms;
        let fits = queue_ms <= request.validity_ms * MAX_QUEUE_PERCENT / 100;
        self.open.is_empty() || (fits && self.open.len() < MAX_REQUESTS)
    }

    /// Adds a request that is sent now. Returns how long its answer is awaited, which includes
    /// the time for the requests before it.
    pub(super) fn add(&mut self, id: u64, request: AdviceRequest) -> u64 {
        self.open.insert(id, request);
        let factor = TIMEOUT_FACTOR << self.failures.min(MAX_TIMEOUT_DOUBLINGS);
        self.queue_ms() * factor + ORDER_TIMEOUT_MS
    }

    /// Removes a request that was answered.
    pub(super) fn answered(&mut self, id: u64) -> Option<AdviceRequest> {
        self.failures = 0;
        self.open.remove(&id)
    }

    /// Removes a request that was refused or not answered in time.
    pub(super) fn failed(&mut self, now_ms: u64, id: u64) -> Option<AdviceRequest> {
        if now_ms >= self.retry_ms {
            let last = RETRY_DELAYS_MS.len() - 1;
            self.retry_ms = now_ms + RETRY_DELAYS_MS[self.failures.min(last)];
            self.failures += 1;
        }
        self.open.remove(&id)
    }

    /// Returns for how long the open requests keep the advisor busy at most.
    fn queue_ms(&self) -> u64 {
        self.open.values().map(|request| request.takes_ms).sum()
    }
}
