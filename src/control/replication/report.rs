use serde::{Deserialize, Serialize};

use crate::jobs::Resources;
use crate::model::{InstanceName, PoolName, RackName, ZoneName};

/// A worker's report about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's incarnation.
    pub worker: InstanceName,
    /// Name of the machine that the worker runs on, which a restart does not change.
    pub machine: Option<String>,
    /// The pool that the machine is in.
    pub pool: PoolName,
    /// Address at which the worker takes orders.
    pub address: std::net::SocketAddr,
    /// Availability zone of the machine.
    pub zone: ZoneName,
    /// Rack of the machine, if it is reported.
    pub rack: Option<RackName>,
    /// Labels that steps may ask for.
    pub labels: Vec<String>,
    /// Total room for tasks.
    pub capacity: Resources,
    /// Whether the worker takes work or drains.
    pub phase: Phase,
    /// Sequence number, which rises with each report of an incarnation.
    pub sequence: u64,
}

impl Report {
    /// Returns the size of all names and labels, in bytes.
    pub fn text_bytes(&self) -> usize {
        let names = [
            self.worker.as_str(),
            self.machine.as_deref().unwrap_or_default(),
            self.pool.as_str(),
            self.zone.as_str(),
        ];
        let labels = self.labels.iter().map(String::as_str);
        names.into_iter().chain(labels).map(str::len).sum()
    }
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The worker takes work.
    #[display("ready")]
    Ready,
    /// The worker is about to stop and must get no new work.
    #[display("draining")]
    Draining,
}
