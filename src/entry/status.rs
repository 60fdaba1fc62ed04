use std::collections::BTreeMap;

use serde::Serialize;

use crate::consensus;
use crate::model::{EntryName, PoolName, ZoneName};
use crate::state::Usage;

use super::Counts;

/// Status of the system as one entry instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct EntryStatus {
    /// The entry instance.
    pub entry: EntryName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The entry instance's health.
    pub health: Health,
    /// Time since its start, in milliseconds.
    pub up_ms: u64,
    /// Status of the replicated log.
    pub log: consensus::Status,
    /// Highest log index applied here.
    pub applied_index: u64,
    /// Sum of the versions of the rows in force here; it never decreases.
    pub row_versions: u64,
    /// The other entry instances.
    pub peers: BTreeMap<EntryName, PeerStatus>,
    /// Pools with their disruption budgets.
    pub pools: BTreeMap<PoolName, PoolStatus>,
    /// Number of upstreams whose lease is valid.
    pub upstreams: usize,
    /// Number of instances in the replicated state.
    pub instances: usize,
    /// Number of requests not answered yet.
    pub open_requests: usize,
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// Number of attempts sent since the start.
    pub attempts: u64,
    /// Number of proposals not seen applied yet.
    pub open_proposals: usize,
    /// Outcomes sent to callers since the start.
    pub outcomes: Counts,
    /// Number of queued requests by class, `urgent` and `patient`.
    pub waiting: BTreeMap<String, usize>,
    /// Longest expected queue wait by class, in milliseconds.
    pub wait_ms: BTreeMap<String, u64>,
    /// Number of retries by reason.
    pub retries: BTreeMap<String, u64>,
    /// Size of the replicated state in keys and jobs.
    pub usage: Usage,
}

/// Health as published for the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// The pools are not known yet: send nothing.
    #[display("starting")]
    Starting,
    /// Calls of every kind are accepted.
    #[display("ready")]
    Ready,
    /// The log has no leader: only calls that need no claim are accepted.
    #[display("cut-off")]
    CutOff,
    /// A planned stop is in progress: send nothing new.
    #[display("draining")]
    Draining,
}

/// A peer as this entry instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct PeerStatus {
    /// Whether the peer has been heard from recently.
    pub heard: bool,
    /// Time since its last frame, in milliseconds.
    pub silent_ms: u64,
    /// Highest log index it has reported as applied.
    pub applied_index: u64,
    /// Number of log entries it is behind this entry instance.
    pub behind: u64,
}

/// Disruption budget of a pool.
#[derive(Clone, Debug, Serialize)]
pub struct PoolStatus {
    /// Number of instances that must stay available.
    pub min_available: u32,
    /// Number of serving instances.
    pub serving: u32,
    /// The calculation of the budget as text.
    pub budget_use: String,
}
