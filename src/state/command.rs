use serde::{Deserialize, Serialize};

use crate::load::RequestId;
use crate::maintenance::FleetCommand;
use crate::model::{
    Capacity, ChangeId, EntryName, InstanceName, RefusalReason, RequestKey, Row, RowKey,
    ServiceName, TeamName, ZoneName,
};

use super::{Fence, Fingerprint, JobId};

/// Tells one proposal from all others, so that its proposer finds its reply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The entry instance that proposed it.
    pub entry: EntryName,
    /// The entry's start, so that a restart does not use a number again.
    pub incarnation: u64,
    /// Counts the entry's proposals.
    pub sequence: u64,
}

/// A proposed change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Its id.
    pub id: CommandId,
    /// When it was proposed, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// What is to change.
    pub change: Change,
}

/// What is to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Rows of weights and limits, all or none.
    PutRows {
        /// The operator's id for the change; resent, it gets its first answer.
        change: ChangeId,
        /// Who.
        operator: String,
        /// The rows.
        rows: Vec<RowChange>,
        /// Whether the operator has confirmed jumps and removals.
        confirm_jump: bool,
    },
    /// A change of pools, instances or waves.
    Fleet {
        /// The operator's id, none for changes by the system itself.
        change: Option<ChangeId>,
        /// Who: an operator's name, or the part of the system.
        by: String,
        /// The change.
        command: FleetCommand,
    },
    /// What an instance of the fleet says it can carry; limits are checked
    /// against it.
    Capacity {
        /// The instance.
        instance: InstanceName,
        /// What it carries.
        capacity: Capacity,
    },
    /// The proposer is up, in this availability zone.
    EntrySeen {
        /// The proposer's availability zone.
        zone: ZoneName,
    },
    /// An entry instance is gone, so what it had in flight is settled.
    EntryLost {
        /// The entry instance.
        entry: EntryName,
        /// The start that is over; a newer one is left alone.
        incarnation: u64,
    },
    /// Asks for the right to run the request of a key, at most once.
    Claim {
        /// The key, see [`super::scoped_key`].
        key: RequestKey,
        /// What is asked for.
        fingerprint: Fingerprint,
        /// The request inside the proposer.
        request: RequestId,
    },
    /// The claimed request ran, with this answer.
    ClaimAnswer {
        /// The key.
        key: RequestKey,
        /// The fence that was granted.
        fence: Fence,
        /// HTTP status.
        status: u16,
        /// The whole body.
        body: Vec<u8>,
    },
    /// The claimed request certainly did not run.
    ClaimRelease {
        /// The key.
        key: RequestKey,
        /// The fence that was granted.
        fence: Fence,
    },
    /// Nobody knows whether the claimed request ran.
    ClaimUnknown {
        /// The key.
        key: RequestKey,
        /// The fence that was granted.
        fence: Fence,
    },
    /// Takes a patient job in; it is durable once this is committed.
    JobAccept(NewJob),
    /// Gives a ready job to an entry instance.
    JobAssign {
        /// The job.
        job: JobId,
        /// Its present fence.
        fence: Fence,
        /// The entry instance that is to run it.
        owner: EntryName,
        /// The owner's start.
        incarnation: u64,
    },
    /// Where the next attempt may go on.
    JobCheckpoint {
        /// The job.
        job: JobId,
        /// The attempt's fence.
        fence: Fence,
        /// What the upstream handed out.
        data: Vec<u8>,
    },
    /// The attempt finished.
    JobDone {
        /// The job.
        job: JobId,
        /// The attempt's fence.
        fence: Fence,
        /// HTTP status.
        status: u16,
        /// The whole body.
        body: Vec<u8>,
    },
    /// The attempt certainly did not run.
    JobNotRun {
        /// The job.
        job: JobId,
        /// The attempt's fence.
        fence: Fence,
    },
    /// Nobody knows whether the attempt ran.
    JobLost {
        /// The job.
        job: JobId,
        /// The attempt's fence.
        fence: Fence,
    },
    /// The job can never run.
    JobRefused {
        /// The job.
        job: JobId,
        /// Its present fence.
        fence: Fence,
        /// Why.
        reason: RefusalReason,
    },
    /// The caller wants it no more; heeded before an attempt starts.
    JobCancel {
        /// The job.
        job: JobId,
    },
}

/// One row as an operator wants it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Which row.
    pub key: RowKey,
    /// The version the operator saw, 0 for a new row.
    pub expected_version: u64,
    /// The row wanted, none to remove it.
    pub row: Option<Row>,
}

/// A patient job as it arrives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewJob {
    /// Its id, chosen by the entry instance that took it.
    pub job: JobId,
    /// The caller's key, see [`super::scoped_key`].
    pub key: RequestKey,
    /// What is asked for.
    pub fingerprint: Fingerprint,
    /// The service.
    pub service: ServiceName,
    /// Whose quota it counts against.
    pub team: TeamName,
    /// Who sent it.
    pub caller: String,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The request's body.
    pub body: Vec<u8>,
}
