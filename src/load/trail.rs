//! What was decided about each request, for `explain request`.

use std::collections::VecDeque;

use crate::model::{InstanceName, RefusalReason};

use super::{AttemptId, RequestId, RetryReason};

/// Decisions kept: at 1,000 requests a second about the last second or two, in
/// less than a megabyte.
const KEPT: usize = 4_096;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Decision {
    /// Let in, with the wait that was expected.
    #[display("queued, expected to wait {wait_ms} ms")]
    Queued {
        /// Expected wait in milliseconds.
        wait_ms: u64,
    },
    /// Sent out.
    #[display("attempt {attempt} to {instance} after {waited_ms} ms: {why}")]
    Dispatched {
        /// Which attempt.
        attempt: AttemptId,
        /// Where to.
        instance: InstanceName,
        /// Time since it arrived, in milliseconds.
        waited_ms: u64,
        /// Why there.
        why: Placement,
    },
    /// Put back to be tried again.
    #[display("tried again: {_0}")]
    Retried(RetryReason),
    /// Refused.
    #[display("refused: {_0}")]
    Refused(RefusalReason),
    /// Answered with what the attempt brought.
    #[display("answered by attempt {_0}")]
    Delivered(AttemptId),
    /// Answered that it may have run.
    #[display("outcome unknown")]
    Unknown,
    /// Cancelled in flight: its slot stays taken until the attempt ends.
    #[display("cancelled in flight")]
    CancelledInFlight,
}

/// Why a request went where it went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Placement {
    /// The zone its weights name; less loaded of those drawn.
    #[display("planned zone, less loaded of those drawn")]
    Planned,
    /// The planned zone was full and waiting would have cost more.
    #[display("spilled from a full zone")]
    Spilled,
    /// One request at a time to see whether the upstream works again.
    #[display("probe")]
    Probe,
}

/// A decision with its time and request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrailEntry {
    /// When, on the dispatcher's clock.
    pub at_ms: u64,
    /// Which request.
    pub request: RequestId,
    /// What.
    pub decision: Decision,
}

/// The latest decisions.
#[derive(Debug, Default)]
pub(super) struct Trail {
    entries: VecDeque<TrailEntry>,
}

impl Trail {
    pub(super) fn add(&mut self, at_ms: u64, request: RequestId, decision: Decision) {
        if self.entries.len() >= KEPT {
            self.entries.pop_front();
        }
        self.entries.push_back(TrailEntry {
            at_ms,
            request,
            decision,
        });
    }

    pub(super) fn of(&self, request: RequestId) -> Vec<TrailEntry> {
        self.entries
            .iter()
            .filter(|e| e.request == request)
            .cloned()
            .collect()
    }
}
