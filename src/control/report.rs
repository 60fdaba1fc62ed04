use serde::{Deserialize, Serialize};

use crate::jobs::Room;
use crate::model::{InstanceName, PoolName, RackName, ZoneName};

/// What a worker says of itself, decoded in full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The worker's incarnation.
    pub worker: InstanceName,
    /// The machine that it runs on; the same after a restart.
    pub machine: Option<String>,
    /// The pool that the machine is in.
    pub pool: PoolName,
    /// Where it takes orders.
    pub address: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack, where it says so.
    pub rack: Option<RackName>,
    /// All its labels.
    pub labels: Vec<String>,
    /// All its room.
    pub capacity: Room,
    /// What it is about to do.
    pub phase: Phase,
    /// Rises with each report of an incarnation.
    pub sequence: u64,
}

/// What a worker is about to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It takes work.
    #[display("ready")]
    Ready,
    /// It is about to leave and must get nothing new.
    #[display("draining")]
    Draining,
}
