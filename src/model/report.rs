use serde::{Deserialize, Serialize};

use super::{Capacity, InstanceName, PoolName, RackName, ZoneName};

/// What an upstream last said of itself.
///
/// A report is also a lease: an entry instance dispatches to an upstream only
/// while its report, heard from the upstream itself or through a peer, is
/// younger than the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The instance.
    pub instance: InstanceName,
    /// Counts its starts; a new one inherits nothing of the old.
    pub incarnation: u64,
    /// Orders the reports of one incarnation.
    pub sequence: u64,
    /// `IP:port` it takes requests on.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// The pool it was set up for, used when it joins for the first time.
    pub pool: PoolName,
    /// What it can carry.
    pub capacity: Capacity,
    /// The pool epoch it was last told, 0 if none.
    pub pool_epoch: u64,
    /// What it says it is doing.
    pub standing: Standing,
    /// Requests running on it, from all entry instances.
    pub running: u32,
    /// Age of `running` when it was sent, in milliseconds.
    pub usage_age_ms: u64,
}

/// What an upstream says it is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// Takes new requests.
    #[display("serving")]
    Serving,
    /// Was told to drain: takes nothing new, finishes what runs.
    #[display("draining")]
    Draining,
    /// Leaves for good.
    #[display("leaving")]
    Leaving,
}
