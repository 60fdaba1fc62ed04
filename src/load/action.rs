use crate::model::{InstanceName, Outcome, RefusalReason};

use super::{AttemptId, RequestId};

/// An action that the driver must execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the instance under its pool epoch.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt, new for each dispatch.
        attempt: AttemptId,
        /// The target instance.
        instance: InstanceName,
        /// Incarnation of the instance when it was chosen.
        incarnation: u64,
        /// The pool epoch under which it may run.
        pool_epoch: u64,
    },
    /// Answer the caller with the result of the last attempt (`Finished`).
    Deliver {
        /// The request.
        request: RequestId,
        /// The attempt whose answer counts.
        attempt: AttemptId,
    },
    /// Answer the caller that the request did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed, in milliseconds from now.
        retry_after_ms: Option<u64>,
    },
    /// Answer the caller that the request may have run.
    GiveUpUnknown {
        /// The request.
        request: RequestId,
    },
}

impl Action {
    /// Returns the outcome for the caller, for actions that carry it completely.
    pub fn refusal(&self) -> Option<Outcome> {
        match self {
            Self::Refuse {
                reason,
                retry_after_ms,
                ..
            } => Some(Outcome::NotRun {
                reason: *reason,
                retry_after_ms: *retry_after_ms,
            }),
            Self::GiveUpUnknown { .. } => Some(Outcome::Unknown),
            Self::Dispatch { .. } | Self::Deliver { .. } => None,
        }
    }
}
