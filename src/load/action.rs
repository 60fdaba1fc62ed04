use crate::model::{InstanceName, Outcome, RefusalReason};

use super::{AttemptId, RequestId};

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the instance under its pool epoch.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The attempt, new for each dispatch.
        attempt: AttemptId,
        /// Where to.
        instance: InstanceName,
        /// The incarnation that was chosen.
        incarnation: u64,
        /// The pool epoch under which it may run.
        pool_epoch: u64,
    },
    /// Answer the caller with what the last attempt brought (`Finished`).
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
        /// Why.
        reason: RefusalReason,
        /// When to come back, in milliseconds from now.
        retry_after_ms: Option<u64>,
    },
    /// Answer the caller that the request may have run.
    GiveUpUnknown {
        /// The request.
        request: RequestId,
    },
}

impl Action {
    /// The outcome told to the caller, for actions that carry it whole.
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
