use serde::{Deserialize, Serialize};

use crate::maintenance::FleetRefusal;
use crate::model::EntryName;
use crate::table::CellError;

use super::{Fence, JobId};

/// The result of a command; the same on every process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change was applied.
    Accepted,
    /// The fleet refused the command; nothing was changed.
    Fleet(FleetRefusal),
    /// Rows were refused, with the errors of their cells; nothing was changed.
    Rows(Vec<CellError>),
    /// The change id was used before with other content; nothing was changed.
    ChangeReused,
    /// The reply to a claim.
    Claim(ClaimReply),
    /// The reply to a command about a patient job.
    Job(JobReply),
    /// The fence is not that of the current attempt; nothing was changed.
    StaleFence,
    /// The entry instance has restarted since, is lost or was never seen;
    /// nothing was changed.
    StaleIncarnation,
    /// The command was applied before; its reply was too large to keep.
    /// Proposing a claim again under a new sequence number is safe.
    Duplicate,
    /// Nothing was changed: the command is outside the deduplication window, so
    /// the state cannot tell whether it was applied before. Propose it again
    /// under a new sequence number.
    Superseded,
    /// The fleet has no such instance.
    UnknownInstance,
}

/// The reply to a claim on a request key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The proposer may run the request and reports the outcome under this
    /// fence.
    Granted {
        /// The attempt's fence.
        fence: Fence,
    },
    /// The request is running.
    InFlight {
        /// The entry instance that runs it.
        entry: EntryName,
        /// When it was granted, in milliseconds of Unix time.
        since_unix_ms: u64,
    },
    /// The request ran, with this answer.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// The whole body of the answer.
        body: Vec<u8>,
    },
    /// The request may or may not have run and is not run again.
    Unknown,
    /// The key is in use for another request.
    Conflict,
    /// The request ran; its answer is no longer kept.
    Expired,
    /// The limit of claims or tombstones is reached; the request did not run.
    Full,
}

/// The reply to a command about a patient job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// The job is accepted under this id, that of its first acceptance.
    Accepted {
        /// The job's id.
        job: JobId,
    },
    /// The owner may start the job under this fence.
    Assigned {
        /// The attempt's fence.
        fence: Fence,
    },
    /// The command was applied.
    Noted,
    /// The job has started, so it was not cancelled.
    Started,
    /// The job had already ended; nothing was changed.
    Ended,
    /// There is no such job, or it is no longer kept.
    NotFound,
    /// The key is in use for another request.
    Conflict,
    /// The key's job ran; its answer is no longer kept.
    Expired,
    /// The key's job may have run; the job is no longer kept.
    Unknown,
    /// The limit of jobs, their bytes or tombstones is reached; the job or
    /// checkpoint was not stored.
    Full,
    /// The body or checkpoint is over the limit and was not stored.
    TooLarge {
        /// The limit, in bytes.
        limit_bytes: u64,
    },
}

impl Reply {
    /// Whether it is too large to keep for deduplication.
    pub(super) fn is_large(&self) -> bool {
        matches!(
            self,
            Self::Rows(_) | Self::Claim(ClaimReply::Answered { .. })
        )
    }
}
