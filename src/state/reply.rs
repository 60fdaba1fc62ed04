use serde::{Deserialize, Serialize};

use crate::maintenance::FleetRefusal;
use crate::model::EntryName;
use crate::table::CellError;

use super::{Fence, JobId};

/// What a command brought about; computed alike on every process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is in the state.
    Accepted,
    /// The fleet refused it.
    Fleet(FleetRefusal),
    /// Rows were refused, cell by cell; nothing was changed.
    Rows(Vec<CellError>),
    /// The change id was used before with other content; nothing was changed.
    ChangeReused,
    /// The answer to a claim.
    Claim(ClaimReply),
    /// The answer about a patient job.
    Job(JobReply),
    /// Another attempt holds the work now; nothing was changed.
    StaleFence,
    /// The entry instance has started anew since, or was never seen.
    StaleIncarnation,
    /// The command was applied before; its reply was too large to keep.
    /// Proposing it again under a new sequence is safe for a claim.
    Duplicate,
    /// Nothing was done: the command is so old that nobody can tell whether it
    /// was applied before. Propose it again under a new sequence.
    Superseded,
    /// No such instance.
    UnknownInstance,
}

/// What a claim gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// Run it; say the outcome under this fence.
    Granted {
        /// The attempt's fence.
        fence: Fence,
    },
    /// It is being run.
    InFlight {
        /// By whom.
        entry: EntryName,
        /// Since when, in milliseconds of Unix time.
        since_unix_ms: u64,
    },
    /// It ran; this is its answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// The whole body.
        body: Vec<u8>,
    },
    /// It may or may not have run and is not run again.
    Unknown,
    /// The key is in use for another request.
    Conflict,
    /// It ran; its answer is no longer kept.
    Expired,
    /// No room for another claim: it did not run.
    Full,
}

/// What a command about a patient job gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// The job is in the state under this id (that of its first acceptance).
    Accepted {
        /// The job.
        job: JobId,
    },
    /// The owner may start it under this fence.
    Assigned {
        /// The attempt's fence.
        fence: Fence,
    },
    /// The command is in the state.
    Noted,
    /// It has started, so it was not cancelled.
    Started,
    /// It has ended before; nothing was changed.
    Ended,
    /// No such job, or no longer kept.
    NotFound,
    /// The key is in use for another request.
    Conflict,
    /// The key's job ran; its answer is no longer kept.
    Expired,
    /// The key's job may have run; it is no longer kept.
    Unknown,
    /// No room: it was not taken.
    Full,
    /// Larger than the limit: it was not taken.
    TooLarge {
        /// The limit, in bytes.
        limit_bytes: u64,
    },
}

impl Reply {
    /// Whether it is too large to be kept beside its command's number.
    pub(super) fn is_large(&self) -> bool {
        matches!(
            self,
            Self::Rows(_) | Self::Claim(ClaimReply::Answered { .. })
        )
    }
}
