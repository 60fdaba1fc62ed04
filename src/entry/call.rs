use std::sync::Arc;

use super::JobView;
use crate::model::{Class, Outcome, RequestKey, ServiceName, TeamName};

/// One call at the callers' edge, from its arrival to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct CallId(pub u64);

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service.
    pub service: ServiceName,
    /// The team it counts against.
    pub team: TeamName,
    /// The caller within the team.
    pub caller: String,
    /// The class the caller expects; refused if the service has another.
    pub class: Option<Class>,
    /// Its idempotency key.
    pub key: Option<RequestKey>,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether the caller vouches that it sends its key for the first time.
    pub first: bool,
    /// How long the answer is of use, in milliseconds from its arrival.
    pub deadline_ms: u64,
    /// The body, passed on as it came.
    pub body: Arc<[u8]>,
}

/// What the callers' edge sends back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// The request's outcome.
    Outcome(Outcome),
    /// A patient job was made durable; ask for it under its id.
    Accepted {
        /// The job's id.
        job: String,
    },
    /// What is known of a patient job.
    Job(JobView),
    /// A field of the call is wrong: which, and what to do.
    BadRequest(String),
}
