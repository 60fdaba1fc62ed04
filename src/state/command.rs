use serde::{Deserialize, Serialize};

use crate::load::RequestId;
use crate::maintenance::FleetCommand;
use crate::model::{
    Capacity, ChangeId, EntryName, InstanceName, RefusalReason, RequestKey, Row, RowKey,
    ServiceName, WorkspaceName, ZoneName,
};

use super::{Fence, Fingerprint, JobId};

/// Identifies one proposal, so that its proposer can find the reply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The entry instance that proposed it.
    pub entry: EntryName,
    /// The entry instance's incarnation, so that sequence numbers do not repeat
    /// after a restart.
    pub incarnation: u64,
    /// Counts the proposals of the incarnation.
    pub sequence: u64,
}

/// A proposed change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Identifies the proposal.
    pub id: CommandId,
    /// When it was proposed, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// The change.
    pub change: Change,
}

/// The change that a command makes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Puts rows of weights and limits in force, all or none.
    PutRows {
        /// The operator's id for the change; a change sent again under this id
        /// gets its first reply.
        change: ChangeId,
        /// The operator's name.
        operator: String,
        /// The rows wanted.
        rows: Vec<RowChange>,
        /// Whether the operator has confirmed large changes of a value and
        /// removals.
        confirm_jump: bool,
    },
    /// Changes pools, instances or waves.
    Fleet {
        /// The operator's id for the change; none for changes by the system
        /// itself.
        change: Option<ChangeId>,
        /// The operator's name, or the part of the system that proposed it.
        by: String,
        /// The fleet's command.
        command: FleetCommand,
    },
    /// Records the capacity that an instance of the fleet reports; limits of
    /// rows are checked against it.
    Capacity {
        /// The instance.
        instance: InstanceName,
        /// The capacity reported.
        capacity: Capacity,
    },
    /// Records that the proposer is up, and its availability zone.
    EntrySeen {
        /// The proposer's availability zone.
        zone: ZoneName,
    },
    /// Declares an entry instance lost and settles what it had in flight.
    EntryLost {
        /// The entry instance.
        entry: EntryName,
        /// The incarnation that has ended; a newer one is not affected.
        incarnation: u64,
    },
    /// Claims a key: asks for the right to run its request, at most once.
    Claim {
        /// The key, see [`super::scoped_key`].
        key: RequestKey,
        /// Digest of the request.
        fingerprint: Fingerprint,
        /// The request's id within the proposer.
        request: RequestId,
    },
    /// Reports the answer of a claimed request that ran.
    ClaimAnswer {
        /// The key.
        key: RequestKey,
        /// The fence that the claim was granted under.
        fence: Fence,
        /// HTTP status of the answer.
        status: u16,
        /// The whole body of the answer.
        body: Vec<u8>,
    },
    /// Reports that the claimed request certainly did not run.
    ClaimRelease {
        /// The key.
        key: RequestKey,
        /// The fence that the claim was granted under.
        fence: Fence,
    },
    /// Reports that the claimed request may have run.
    ClaimUnknown {
        /// The key.
        key: RequestKey,
        /// The fence that the claim was granted under.
        fence: Fence,
    },
    /// Accepts a patient job; it is durable once this command is committed.
    JobAccept(NewJob),
    /// Assigns a ready job to an entry instance.
    JobAssign {
        /// The job.
        job: JobId,
        /// The job's current fence.
        fence: Fence,
        /// The entry instance that is to run it.
        owner: EntryName,
        /// The owner's incarnation.
        incarnation: u64,
    },
    /// Stores the checkpoint from which the next attempt may resume.
    JobCheckpoint {
        /// The job.
        job: JobId,
        /// The attempt's fence.
        fence: Fence,
        /// The checkpoint as the upstream returned it, opaque here.
        data: Vec<u8>,
    },
    /// Reports the answer of an attempt that finished.
    JobDone {
        /// The job.
        job: JobId,
        /// The attempt's fence.
        fence: Fence,
        /// HTTP status of the answer.
        status: u16,
        /// The whole body of the answer.
        body: Vec<u8>,
    },
    /// Reports that the attempt certainly did not run.
    JobNotRun {
        /// The job.
        job: JobId,
        /// The attempt's fence.
        fence: Fence,
    },
    /// Reports that the attempt may have run.
    JobLost {
        /// The job.
        job: JobId,
        /// The attempt's fence.
        fence: Fence,
    },
    /// Ends a job that can never run.
    JobRefused {
        /// The job.
        job: JobId,
        /// The job's current fence.
        fence: Fence,
        /// Why it cannot run.
        reason: RefusalReason,
    },
    /// Cancels a job on its caller's request; without effect once an attempt
    /// has started.
    JobCancel {
        /// The job.
        job: JobId,
    },
}

/// An operator's change to one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// The row's key.
    pub key: RowKey,
    /// The version that the operator last saw, 0 for a new row.
    pub expected_version: u64,
    /// The new row; none to remove the row.
    pub row: Option<Row>,
}

/// A patient job that an entry instance submits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewJob {
    /// The job's id, chosen by the entry instance that received it.
    pub job: JobId,
    /// The caller's key, see [`super::scoped_key`].
    pub key: RequestKey,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// The service that runs it.
    pub service: ServiceName,
    /// The team whose quota it counts against.
    pub team: WorkspaceName,
    /// The caller that sent it.
    pub caller: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The request's body.
    pub body: Vec<u8>,
}
