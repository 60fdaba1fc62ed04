use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::jobs::JobState;
use crate::model::EntryName;

/// The answer to a [`super::Call`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It is done and durable.
    Done,
    /// How far a job is.
    Job(JobState),
    /// How many accepted jobs wait.
    Pending(usize),
    /// The newest configuration, as it was sent.
    Configuration(Arc<Vec<u8>>),
    /// Whether a wave is completed.
    Wave {
        /// Whether all its machines have begun their upkeep.
        completed: bool,
    },
    /// It has no effect and never will.
    Refused(Refusal),
    /// This instance does not lead; nothing was done.
    NotLeader {
        /// Who does, if known.
        leader: Option<EntryName>,
    },
    /// The leader that took it does not lead any more; it may be done all the same.
    LeadLost,
    /// What became of it is not known here.
    Unknown,
}

/// Why a call has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Refusal {
    /// It is wrong in itself.
    #[display("{_0}")]
    Wrong(String),
    /// There is no such queue.
    #[display("no queue is here")]
    NoQueue,
    /// There is no such job or wave.
    #[display("it is not known")]
    NotKnown,
    /// There is no configuration yet.
    #[display("no configuration is in force yet")]
    NoConfiguration,
    /// There is too much to do; when to come back.
    #[display("too much waits; come back in {retry_after_ms} ms")]
    Busy {
        /// From now on.
        retry_after_ms: u64,
    },
}
