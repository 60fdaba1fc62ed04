use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::CredentialsFault;
use crate::jobs::JobState;
use crate::model::EntryName;

/// The answer to a [`crate::control::Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The call is done and its effect is durable.
    Done,
    /// The state of a job.
    Job(JobState),
    /// The number of accepted jobs that have not started.
    Pending(usize),
    /// The newest configuration, as the operator sent it.
    Configuration(Arc<Vec<u8>>),
    /// The progress of a wave.
    Wave {
        /// Whether all its machines have begun their upkeep.
        completed: bool,
    },
    /// The call has no effect and never will have one.
    Refused(Refusal),
    /// This instance does not lead. The call was not processed.
    NotLeader {
        /// The leader, if it is known.
        leader: Option<EntryName>,
    },
    /// The leader that accepted the call lost its leadership. The call may still take
    /// effect.
    LeadLost,
    /// It is not known whether the call takes effect.
    Unknown,
}

/// Why a call has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Refusal {
    /// The call is invalid; the text says why.
    #[display("{_0}")]
    Wrong(String),
    /// No queue matches the host and path.
    #[display("no queue is here")]
    NoQueue,
    /// There is no such job or wave.
    #[display("it is not known")]
    NotKnown,
    /// There is no configuration yet.
    #[display("no configuration is in force yet")]
    NoConfiguration,
    /// The system is overloaded.
    #[display("too much waits; come back in {retry_after_ms} ms")]
    Busy {
        /// Delay after which the call may be retried, in milliseconds.
        retry_after_ms: u64,
    },
    /// The queue requires a key, and the caller has sent none that is in force.
    #[display("{_0}: send a key of a workspace, as Authorization: Bearer KEY")]
    Unauthorized(CredentialsFault),
    /// A job with this id exists and belongs to another workspace, or one was cancelled before it
    /// arrived.
    #[display("the job's id is taken, or a job with it was cancelled: choose another")]
    TakenId,
}
