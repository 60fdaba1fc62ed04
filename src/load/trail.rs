//! Audit trail of the latest decisions about requests, for `explain request`.

use std::collections::VecDeque;

use crate::model::{InstanceName, RefusalReason};

use super::{AttemptId, RequestId, RetryReason};

/// Number of decisions kept: about the last one or two seconds at 1,000 requests per
/// second, in less than a megabyte.
const MAX_DECISIONS: usize = 4_096;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Decision {
    /// Admitted to the queue.
    #[display("queued, expected to wait {wait_ms} ms")]
    Queued {
        /// Estimated time in the queue, in milliseconds.
        wait_ms: u64,
    },
    /// Sent to an upstream.
    #[display("attempt {attempt} to {instance} after {waited_ms} ms: {why}")]
    Dispatched {
        /// Number of the attempt.
        attempt: AttemptId,
        /// Instance that it was sent to.
        instance: InstanceName,
        /// Time since the request's arrival, in milliseconds.
        waited_ms: u64,
        /// Reason for the choice of the instance.
        why: Placement,
    },
    /// Queued again for a retry.
    #[display("tried again: {_0}")]
    Retried(RetryReason),
    /// Refused without being run.
    #[display("refused: {_0}")]
    Refused(RefusalReason),
    /// Answered with the result of an attempt.
    #[display("answered by attempt {_0}")]
    Delivered(AttemptId),
    /// Answered with an unknown outcome: it may have run.
    #[display("outcome unknown")]
    Unknown,
    /// Cancelled in flight; its slot stays occupied until the attempt ends.
    #[display("cancelled in flight")]
    CancelledInFlight,
}

/// Why an instance was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Placement {
    /// In the zone that the weights select, the less loaded of the instances drawn.
    #[display("planned zone, less loaded of those drawn")]
    Planned,
    /// Spilled to another zone: the planned zone was full, and waiting for it would
    /// have cost more.
    #[display("spilled from a full zone")]
    Spilled,
    /// To an upstream on probation, which gets one request at a time until it has
    /// proved to have recovered.
    #[display("probe")]
    Probe,
}

/// A decision with its time and request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrailEntry {
    /// Time on the dispatcher's clock, in milliseconds.
    pub at_ms: u64,
    /// Request that the decision is about.
    pub request: RequestId,
    /// The decision.
    pub decision: Decision,
}

/// Ring of the latest decisions over all requests.
#[derive(Debug, Default)]
pub(super) struct Trail {
    entries: VecDeque<TrailEntry>,
}

impl Trail {
    pub(super) fn add(&mut self, at_ms: u64, request: RequestId, decision: Decision) {
        if self.entries.len() >= MAX_DECISIONS {
            self.entries.pop_front();
        }
        self.entries.push_back(TrailEntry {
            at_ms,
            request,
            decision,
        });
    }

    pub(super) fn for_request(&self, request: RequestId) -> Vec<TrailEntry> {
        self.entries
            .iter()
            .filter(|e| e.request == request)
            .cloned()
            .collect()
    }
}
