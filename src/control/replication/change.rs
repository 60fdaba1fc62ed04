use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::{Configuration, ConfigurationPart, Report, Wave};
use crate::jobs::{JobId, JobSpec, RunResult, TaskId};
use crate::model::{EntryName, InstanceName, WorkspaceName};

/// An entry of the replicated log: changes that become durable together.
///
/// While an earlier command is being synced, the leader batches all pending changes into
/// the next one, so that the number of syncs per second depends on the disk and not on
/// the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The leader that proposed it.
    pub by: EntryName,
    /// Identifies the start of the leader's process.
    pub start: u64,
    /// Number of the command among those of this process.
    pub sequence: u64,
    /// Time of the proposal, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The changes, in the order in which they apply.
    pub changes: Vec<Change>,
}

/// A change to the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Puts a configuration in force if its version is higher than the current one.
    Configure(Arc<Configuration>),
    /// Adds a part of a configuration that is too large for one change.
    ConfigurePart(ConfigurationPart),
    /// Accepts a job, unless a job with this id exists.
    Accept {
        /// The job's id.
        job: JobId,
        /// The name of its queue.
        queue: String,
        /// Its specification.
        spec: Arc<JobSpec>,
    },
    /// Cancels a job at the request of its caller. If there is no such job, its id is kept, so
    /// that a leader accepts none under it; earlier builds keep nothing.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Makes an occurrence of a recurring job due.
    Due {
        /// The job.
        job: JobId,
        /// The occurrence.
        occurrence: u32,
    },
    /// Places a task on a worker, before the worker is told to start it. Repeated while the
    /// run is recorded, it records that the run has started. Earlier builds ignore that.
    Place {
        /// The task.
        task: TaskId,
        /// The attempt number of the start.
        attempt: u32,
        /// The worker.
        worker: InstanceName,
    },
    /// Withdraws a placement whose start has not happened and can no longer happen.
    Unplace {
        /// The task.
        task: TaskId,
        /// The attempt number of the start.
        attempt: u32,
        /// The worker that it was placed on.
        worker: InstanceName,
    },
    /// Records the end of a run.
    End {
        /// The task.
        task: TaskId,
        /// The attempt number of the run.
        attempt: u32,
        /// The worker that it ran on.
        worker: InstanceName,
        /// How it ended.
        ending: RunResult,
        /// The saved progress of the task, empty if there is none.
        checkpoint: String,
    },
    /// Adds a worker, or updates what it reports about itself.
    Report(Arc<Report>),
    /// Marks a worker that announced its shutdown.
    Leave {
        /// The worker.
        worker: InstanceName,
    },
    /// Ends all runs on a worker, because its leases have expired.
    Lapse {
        /// The worker.
        worker: InstanceName,
    },
    /// Removes a worker whose incarnation has ended, and ends all its runs.
    Gone {
        /// The worker.
        worker: InstanceName,
    },
    /// Accepts a maintenance wave, unless one with this number exists.
    Wave(Wave),
    /// Records that the upkeep of a machine is about to be ordered.
    UpkeepAsked {
        /// The wave's number.
        wave: u64,
        /// The machine.
        machine: String,
        /// The worker incarnation on the machine; `None` if the machine is off.
        worker: Option<InstanceName>,
    },
    /// Records that the upkeep of a machine has begun, or that the machine no longer exists.
    UpkeepBegun {
        /// The wave's number.
        wave: u64,
        /// The machine.
        machine: String,
    },
    /// Forgets jobs that ended, and ids that were cancelled, before a time.
    Forget {
        /// The time, in milliseconds since 1970.
        before_unix_ms: u64,
    },
    /// Accepts a job of a workspace, unless a job with this id exists.
    AcceptFor {
        /// The workspace.
        workspace: WorkspaceName,
        /// The job's id.
        job: JobId,
        /// The name of its queue.
        queue: String,
        /// Its specification.
        spec: Arc<JobSpec>,
    },
}

/// Allowance for the parts of a change whose size hardly varies: names, numbers and labels.
const BASE_CHANGE_BYTES: usize = 512;

impl Change {
    /// Returns the job that the change affects, if it affects a single one.
    pub fn job(&self) -> Option<JobId> {
        match self {
            Self::Accept { job, .. }
            | Self::AcceptFor { job, .. }
            | Self::Cancel { job }
            | Self::Due { job, .. } => Some(*job),
            Self::Place { task, .. } | Self::Unplace { task, .. } | Self::End { task, .. } => {
                Some(task.job)
            }
            Self::Configure(_)
            | Self::ConfigurePart(_)
            | Self::Report(_)
            | Self::Leave { .. }
            | Self::Lapse { .. }
            | Self::Gone { .. }
            | Self::Wave(_)
            | Self::UpkeepAsked { .. }
            | Self::UpkeepBegun { .. }
            | Self::Forget { .. } => None,
        }
    }

    /// Returns an upper estimate of the encoded size of the change, in bytes.
    pub fn size_bytes(&self) -> usize {
        BASE_CHANGE_BYTES
            + match self {
                Self::Configure(configuration) => configuration.size_bytes(),
                Self::ConfigurePart(part) => part.size_bytes(),
                Self::Accept { spec, .. } | Self::AcceptFor { spec, .. } => spec.size_bytes(),
                Self::End { checkpoint, .. } => checkpoint.len(),
                Self::Wave(wave) => crate::codec::encode(wave).len(),
                Self::Report(report) => crate::codec::encode(&**report).len(),
                Self::Cancel { .. }
                | Self::Due { .. }
                | Self::Place { .. }
                | Self::Unplace { .. }
                | Self::Leave { .. }
                | Self::Lapse { .. }
                | Self::Gone { .. }
                | Self::UpkeepAsked { .. }
                | Self::UpkeepBegun { .. }
                | Self::Forget { .. } => 0,
            }
    }
}
