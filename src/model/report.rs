use serde::{Deserialize, Serialize};

use super::{Capacity, InstanceName, PoolName, RackName, ZoneName};

/// The latest report of an upstream.
///
/// A report is also a lease: an entry instance dispatches to an upstream only
/// while its report, received from the upstream itself or through a peer, is
/// younger than the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// The instance.
    pub instance: InstanceName,
    /// Counts its starts; a new incarnation keeps no state of the old one.
    pub incarnation: u64,
    /// Orders the reports of one incarnation.
    pub sequence: u64,
    /// `IP:port` on which it accepts requests.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// The pool in its settings, used when it joins for the first time.
    pub pool: PoolName,
    /// Its capacity.
    pub capacity: Capacity,
    /// The latest pool epoch that it received, 0 if none.
    pub pool_epoch: u64,
    /// Its state by its own report.
    pub standing: UpstreamState,
    /// Number of requests that it runs, from all entry instances.
    pub running: u32,
    /// Age of `running` when the report was sent, in milliseconds.
    pub usage_age_ms: u64,
}

/// The state that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// Accepts new requests.
    #[display("serving")]
    Serving,
    /// Was told to drain: accepts no new requests and finishes the running ones.
    #[display("draining")]
    Draining,
    /// Leaves permanently.
    #[display("leaving")]
    Leaving,
}
