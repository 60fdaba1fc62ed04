use std::sync::Arc;

use super::JobView;
use crate::model::{Class, Outcome, RequestKey, ServiceName, WorkspaceName};

/// Identifies a call from its arrival to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct CallId(pub u64);

/// A call from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service.
    pub service: ServiceName,
    /// The team it counts against.
    pub team: WorkspaceName,
    /// The caller within the team.
    pub caller: String,
    /// The class the caller expects; the call is refused if the service has another.
    pub class: Option<Class>,
    /// The idempotency key.
    pub key: Option<RequestKey>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the caller vouches that it sends its key for the first time.
    pub first: bool,
    /// How long the answer is useful, in milliseconds from the arrival of the call.
    pub deadline_ms: u64,
    /// The body, passed on unchanged.
    pub body: Arc<[u8]>,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// The request's outcome.
    Outcome(Outcome),
    /// A patient job was stored durably; query its state by its id.
    Accepted {
        /// The job's id.
        job: String,
    },
    /// The state of a patient job.
    Job(JobView),
    /// A field of the call is wrong; the text names the field and the remedy.
    BadRequest(String),
}
