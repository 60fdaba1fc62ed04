use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Configuration, Report, Wave};
use crate::jobs::{JobId, JobSpec};
use crate::model::InstanceName;

/// A place in front of a queue, as a caller names it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The host.
    pub host: String,
    /// The whole path.
    pub path: String,
}

/// What is asked of the leader. Every call may be sent again, to any instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller hands in a job.
    Submit {
        /// In front of which queue.
        place: Place,
        /// The job; none if it cannot be read.
        spec: Option<Arc<JobSpec>>,
    },
    /// A caller asks how far a job is, or how many wait.
    Look {
        /// In front of which queue.
        place: Place,
    },
    /// A caller wants no more of a job.
    Cancel {
        /// In front of which queue.
        place: Place,
    },
    /// A worker says how it is.
    Report(Arc<Report>),
    /// A worker ends.
    Leave {
        /// Its incarnation.
        worker: InstanceName,
    },
    /// An operator sets a configuration.
    Configure(Arc<Configuration>),
    /// An operator reads the newest configuration.
    ReadConfiguration,
    /// An operator starts a wave.
    StartWave(Wave),
    /// An operator asks how far a wave is.
    LookAtWave {
        /// The wave's number.
        wave: u64,
    },
}

/// A job that a path names below a queue's prefix.
pub(super) fn job_below(path: &str, prefix: &str) -> Option<JobId> {
    path.strip_prefix(prefix)?.parse().ok()
}
