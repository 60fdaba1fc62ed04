use std::sync::Arc;

use crate::load::AttemptId;
use crate::model::{Class, Outcome, RequestKey, ServiceName, WorkspaceName};
use crate::state::{Fence, JobId};

use super::CallId;

/// A request that is not answered yet.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Who waits for its answer.
    pub origin: Origin,
    /// The service.
    pub service: ServiceName,
    /// The team it counts against.
    pub team: WorkspaceName,
    /// The caller within the team.
    pub caller: String,
    /// Class of its service.
    pub class: Class,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The caller's own key, passed on to the upstream.
    pub key: Option<RequestKey>,
    /// Body passed to the upstream.
    pub body: Arc<[u8]>,
    /// Time after which its answer is useless.
    pub deadline_ms: u64,
    /// Longest time for one attempt, in milliseconds.
    pub attempt_timeout_ms: u64,
    /// The complete answer of an attempt, until the dispatcher decides which attempt
    /// counts.
    pub answer: Option<(AttemptId, u16, Vec<u8>)>,
    /// Whether it was submitted to the dispatcher.
    pub offered: bool,
}

/// Who waits for a request's answer.
#[derive(Debug)]
pub(super) enum Origin {
    /// A call from a caller.
    Call {
        /// The call.
        id: CallId,
        /// Whether the caller disconnected.
        gone: bool,
        /// The claim on its key, for one that may run only once.
        claim: Option<ClaimHold>,
    },
    /// A patient job assigned to this entry instance.
    Job {
        /// The job.
        job: JobId,
        /// The attempt's fencing token.
        fence: Fence,
    },
}

/// A claim on the key of a request that may run only once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ClaimHold {
    /// The key as the replicated state has it, with team and caller in front.
    pub key: RequestKey,
    /// The fencing token; none until the claim is granted.
    pub fence: Option<Fence>,
    /// The outcome for the caller if the claim gets no usable reply.
    pub fallback_outcome: Outcome,
}

/// An outcome that is being stored, so that a caller that loses the answer can ask
/// again. If storing takes too long, the caller is answered without it.
#[derive(Debug)]
pub(super) struct PendingStore {
    /// The call.
    pub id: CallId,
    /// The outcome.
    pub outcome: Outcome,
    /// Latest time to answer the caller.
    pub due_ms: u64,
}
