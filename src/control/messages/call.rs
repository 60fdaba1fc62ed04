use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::{Configuration, ConfigurationPart, Credentials, Report, Wave};
use crate::jobs::{JobId, JobSpec};
use crate::model::InstanceName;

/// The host and path of a caller's request, which select a queue and possibly a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The host.
    pub host: String,
    /// The complete path.
    pub path: String,
}

impl Place {
    fn memory_bytes(&self) -> usize {
        self.host.len() + self.path.len()
    }
}

/// A request to the leader. Every call is idempotent and may be sent again, to any
/// instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A caller submits a job.
    Submit {
        /// The queue and the job's id.
        place: Place,
        /// The job, or `None` if it could not be parsed.
        spec: Option<Arc<JobSpec>>,
    },
    /// A caller asks for the state of a job, or for the number of waiting jobs.
    Look {
        /// The queue, and the job's id if the state of one job is asked for.
        place: Place,
    },
    /// A caller cancels a job.
    Cancel {
        /// The queue and the job's id.
        place: Place,
    },
    /// A worker reports its state.
    Report(Arc<Report>),
    /// A worker shuts down.
    Leave {
        /// The worker's incarnation.
        worker: InstanceName,
    },
    /// An operator replaces the configuration.
    Configure(Arc<Configuration>),
    /// An operator reads the newest configuration.
    ReadConfiguration,
    /// An operator starts a maintenance wave.
    StartWave(Wave),
    /// An operator asks for the progress of a wave.
    LookAtWave {
        /// The wave's number.
        wave: u64,
    },
    /// A caller's call with the credentials that came with it.
    Authorized {
        /// The credentials.
        credentials: Credentials,
        /// The call.
        call: Box<Call>,
    },
    /// An operator replaces the configuration; holds the parts of its encoded form. Only
    /// [`Call::for_peer`] makes it.
    ConfigureParts(Vec<ConfigurationPart>),
    /// A worker's call with the time at which the worker's process started. It tells apart
    /// what a worker said before and after it started again under its name.
    Since {
        /// Time of the start in milliseconds since 1970, by the worker's clock.
        started_unix_ms: u64,
        /// The call.
        call: Box<Call>,
    },
}

/// Memory of a call itself, without its content.
const BASE_CALL_BYTES: usize = 256;

impl Call {
    /// Returns its size in memory, in bytes, without what the allocator adds.
    pub fn memory_bytes(&self) -> usize {
        let content = match self {
            Self::Submit { place, spec } => {
                place.memory_bytes() + spec.as_ref().map_or(0, |spec| spec.memory_bytes())
            }
            Self::Look { place } | Self::Cancel { place } => place.memory_bytes(),
            Self::Report(report) => report.text_bytes(),
            Self::Leave { worker } => worker.as_str().len(),
            // The document, and what is decoded of it.
            Self::Configure(configuration) => 2 * configuration.document.len(),
            Self::ConfigureParts(parts) => parts.iter().map(ConfigurationPart::size_bytes).sum(),
            Self::StartWave(wave) => {
                let machines = wave.machines.iter();
                machines.map(|name| size_of::<String>() + name.len()).sum()
            }
            Self::Authorized { call, .. } | Self::Since { call, .. } => call.memory_bytes(),
            Self::ReadConfiguration | Self::LookAtWave { .. } => 0,
        };
        BASE_CALL_BYTES + content
    }

    /// Splits off the time at which the calling worker's process started, if it said it.
    pub fn split_start(self) -> (Option<u64>, Self) {
        match self {
            Self::Since {
                started_unix_ms,
                call,
            } => (Some(started_unix_ms), *call),
            call => (None, call),
        }
    }

    /// Returns whether the call only reads, so that an earlier copy of it has no effect.
    pub fn is_read(&self) -> bool {
        match self {
            Self::Look { .. } | Self::ReadConfiguration | Self::LookAtWave { .. } => true,
            Self::Authorized { call, .. } | Self::Since { call, .. } => call.is_read(),
            Self::Submit { .. }
            | Self::Cancel { .. }
            | Self::Report(_)
            | Self::Leave { .. }
            | Self::Configure(_)
            | Self::ConfigureParts(_)
            | Self::StartWave(_) => false,
        }
    }

    /// Returns whether the call submits a job.
    pub fn is_submission(&self) -> bool {
        match self {
            Self::Submit { .. } => true,
            Self::Authorized { call, .. } | Self::Since { call, .. } => call.is_submission(),
            _ => false,
        }
    }

    /// Returns the call in the form in which it is sent to a peer. A configuration with
    /// workspaces is sent encoded, as [`Configuration`] alone has no place for them.
    pub fn for_peer(self) -> Self {
        match self {
            Self::Configure(configuration) if configuration.access.is_some() => {
                Self::ConfigureParts(ConfigurationPart::split(&configuration))
            }
            call => call,
        }
    }
}

/// Parses the id of the job from the part of a path after its queue's prefix.
pub(in crate::control) fn job_from_path(path: &str, prefix: &str) -> Option<JobId> {
    path.strip_prefix(prefix)?.parse().ok()
}
