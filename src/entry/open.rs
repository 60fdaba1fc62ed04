use std::sync::Arc;

use crate::load::AttemptId;
use crate::model::{Class, Outcome, RequestKey, ServiceName, TeamName};
use crate::state::{Fence, JobId};

use super::CallId;

/// A request between its arrival at the dispatcher and its answer.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Who waits for its answer.
    pub origin: Origin,
    /// The service.
    pub service: ServiceName,
    /// The team it counts against.
    pub team: TeamName,
    /// The caller within the team.
    pub caller: String,
    /// Its class.
    pub class: Class,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The caller's own key, passed on to the upstream.
    pub key: Option<RequestKey>,
    /// The body.
    pub body: Arc<[u8]>,
    /// When its answer is useless.
    pub deadline_ms: u64,
    /// Longest time for one attempt.
    pub attempt_timeout_ms: u64,
    /// The whole answer of an attempt, until the dispatcher says what counts.
    pub answer: Option<(AttemptId, u16, Vec<u8>)>,
    /// Whether the dispatcher has it.
    pub offered: bool,
}

/// Who waits for a request's answer.
#[derive(Debug)]
pub(super) enum Origin {
    /// A call at the callers' edge.
    Call {
        /// The call.
        id: CallId,
        /// Whether the caller went away.
        gone: bool,
        /// The claim on its key, for one that may run only once.
        claim: Option<ClaimHold>,
    },
    /// A patient job that this entry instance was given.
    Job {
        /// The job.
        job: JobId,
        /// The attempt's fence.
        fence: Fence,
    },
}

/// A claim on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ClaimHold {
    /// The key as it stands in the replicated state.
    pub key: RequestKey,
    /// The granted fence, none until it is granted.
    pub fence: Option<Fence>,
    /// What the caller is told if the claim brings no verdict.
    pub fallback_outcome: Outcome,
}

/// An outcome that waits for its store, so that a lost answer can be asked for
/// again; it is given to the caller without it when the store takes too long.
#[derive(Debug)]
pub(super) struct PendingStore {
    /// The call.
    pub id: CallId,
    /// The outcome.
    pub outcome: Outcome,
    /// When the caller is answered at the latest.
    pub due_ms: u64,
}
