use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Configuration, ConfigurationPart, Report, Wave};
use crate::jobs::{Ending, JobId, JobSpec, TaskId};
use crate::model::{EntryName, InstanceName};

/// An entry of the replicated log: changes that are made durable together.
///
/// One leader batches all that waits while an earlier command is being synced, so
/// that the number of syncs a second is bounded by the disk and not by the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// The leader that proposed it.
    pub by: EntryName,
    /// Tells this start of its process from others.
    pub start: u64,
    /// Counts its commands.
    pub sequence: u64,
    /// When it was proposed, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// A configuration takes effect if its version is the highest.
    Configure(Arc<Configuration>),
    /// A part of a configuration that is too large for one change.
    ConfigurePart(ConfigurationPart),
    /// A job is accepted, unless one of its name is.
    Accept {
        /// Its name.
        job: JobId,
        /// The name of its queue.
        queue: String,
        /// What it is.
        spec: Arc<JobSpec>,
    },
    /// A job's caller wants no more of it.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// An occurrence of a recurring job is due.
    Due {
        /// The job.
        job: JobId,
        /// The occurrence.
        occurrence: u32,
    },
    /// A task is about to be started.
    Place {
        /// The task.
        task: TaskId,
        /// The number of the start.
        attempt: u32,
        /// Where.
        worker: InstanceName,
    },
    /// A start has not happened and cannot happen any more.
    Unplace {
        /// The task.
        task: TaskId,
        /// The number of the start.
        attempt: u32,
        /// Where it was to be.
        worker: InstanceName,
    },
    /// A run ended.
    End {
        /// The task.
        task: TaskId,
        /// The number of the start.
        attempt: u32,
        /// Where it ran.
        worker: InstanceName,
        /// How it ended.
        ending: Ending,
        /// Its saved progress; empty for none.
        checkpoint: String,
    },
    /// A worker is taken in, or its phase has changed.
    Report(Arc<Report>),
    /// A worker said that it ends.
    Leave {
        /// The worker.
        worker: InstanceName,
    },
    /// All that ran on a worker has provably ended with its leases.
    Lapse {
        /// The worker.
        worker: InstanceName,
    },
    /// A worker's incarnation is over.
    Gone {
        /// The worker.
        worker: InstanceName,
    },
    /// A maintenance wave is accepted, unless one of its number is.
    Wave(Wave),
    /// The upkeep of a machine is about to be ordered.
    UpkeepAsked {
        /// The wave's number.
        wave: u64,
        /// The machine.
        machine: String,
        /// The incarnation on it, none if it is off.
        worker: Option<InstanceName>,
    },
    /// The upkeep of a machine has begun, or the machine is gone for good.
    UpkeepBegun {
        /// The wave's number.
        wave: u64,
        /// The machine.
        machine: String,
    },
    /// Jobs that ended before are forgotten.
    Forget {
        /// In milliseconds since 1970.
        before_unix_ms: u64,
    },
}

/// What a change takes beside the parts that vary: names, numbers and labels.
const SMALL_BYTES: usize = 512;

impl Change {
    /// The job that it changes, if it is about one.
    pub fn job(&self) -> Option<JobId> {
        match self {
            Self::Accept { job, .. } | Self::Cancel { job } | Self::Due { job, .. } => Some(*job),
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

    /// About how many bytes it takes in a command, rather too many.
    pub fn size_bytes(&self) -> usize {
        SMALL_BYTES
            + match self {
                Self::Configure(configuration) => configuration.size_bytes(),
                Self::ConfigurePart(part) => part.size_bytes(),
                Self::Accept { spec, .. } => spec.size_bytes(),
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
