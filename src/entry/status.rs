use std::collections::BTreeMap;

use serde::Serialize;

use crate::consensus;
use crate::model::{EntryName, PoolName, ZoneName};
use crate::state::Usage;

use super::Counts;

/// How the system is, as one entry instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct EntryStatus {
    /// The entry instance.
    pub entry: EntryName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is ready, draining or cut off.
    pub health: Health,
    /// Since its start, in milliseconds.
    pub up_ms: u64,
    /// The replicated log.
    pub log: consensus::Status,
    /// The highest index applied here.
    pub applied_index: u64,
    /// Rows in force here: the sum of their versions, which never goes back.
    pub row_versions: u64,
    /// The other entry instances.
    pub peers: BTreeMap<EntryName, PeerStatus>,
    /// Pools with the arithmetic of their budgets.
    pub pools: BTreeMap<PoolName, PoolStatus>,
    /// Upstreams whose report counts now.
    pub upstreams: usize,
    /// Instances in the replicated state.
    pub instances: usize,
    /// Requests between arrival and answer.
    pub open_requests: usize,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Attempts sent since the start.
    pub attempts: u64,
    /// Proposals not yet seen applied.
    pub open_proposals: usize,
    /// Outcomes told to callers.
    pub outcomes: Counts,
    /// Waiting requests by class, as `urgent` and `patient`.
    pub waiting: BTreeMap<String, usize>,
    /// Longest expected wait in a queue by class, in milliseconds.
    pub wait_ms: BTreeMap<String, u64>,
    /// Attempts tried again, by reason.
    pub retries: BTreeMap<String, u64>,
    /// What the replicated state holds of keys and jobs.
    pub usage: Usage,
}

/// What the balancer is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Does not know the pools yet: send nothing.
    #[display("starting")]
    Starting,
    /// Takes calls of every kind.
    #[display("ready")]
    Ready,
    /// Without a leader: takes calls that need no claim.
    #[display("cut-off")]
    CutOff,
    /// A planned stop is under way: send nothing new.
    #[display("draining")]
    Draining,
}

/// One peer as this entry instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Whether it is heard.
    pub heard: bool,
    /// Silence, in milliseconds.
    pub silent_ms: u64,
    /// The highest index it has applied.
    pub applied_index: u64,
    /// Entries of the log it is behind this one.
    pub behind: u64,
}

/// One pool.
#[derive(Clone, Debug, Serialize)]
pub struct PoolStatus {
    /// Instances that must serve.
    pub min_available: u32,
    /// Instances that serve.
    pub serving: u32,
    /// The arithmetic in words.
    pub budget_use: String,
}
