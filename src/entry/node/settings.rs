//! What an entry instance is told at its start, and what its parts get of it.

use std::collections::BTreeMap;

use crate::consensus::ReplicaSettings;
use crate::maintenance::ControllerSettings;
use crate::model::{EntryName, ZoneName};

/// What an entry instance is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub me: EntryName,
    /// Counts its starts; any number that never comes again for this name.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: ZoneName,
    /// All entry instances of the system, this one included, with their zones.
    pub members: BTreeMap<EntryName, ZoneName>,
    /// The entry instances that vote when the cluster is founded.
    pub voters: Vec<EntryName>,
    /// How long an upstream's report counts.
    pub upstream_lease_ms: u64,
    /// How often an upstream reports.
    pub refresh_ms: u64,
    /// How often peers hear of upstreams and load.
    pub gossip_ms: u64,
    /// After what silence a peer counts as gone.
    pub peer_gone_ms: u64,
    /// How often the log's leader shows that it is alive.
    pub heartbeat_ms: u64,
    /// How long without a leader before an election.
    pub election_timeout_ms: u64,
    /// How long news from the leader count as recent.
    pub view_lease_ms: u64,
    /// Entries between snapshots.
    pub snapshot_every: u64,
    /// How long calls are still taken after a planned stop began, so that the
    /// balancer learns of it before it meets refusals.
    pub stop_notice_ms: u64,
    /// Longest time a planned stop waits for what is in flight.
    pub stop_grace_ms: u64,
    /// Seeds random choices; must differ from start to start.
    pub seed: u64,
}

impl Default for NodeSettings {
    /// For zones a millisecond apart; names and members are left empty.
    fn default() -> Self {
        Self {
            me: EntryName::from("entry"),
            incarnation: 1,
            zone: ZoneName::from("zone"),
            members: BTreeMap::new(),
            voters: Vec::new(),
            upstream_lease_ms: 3_000,
            refresh_ms: 1_000,
            // Five times a report's period: news of load are late by it.
            gossip_ms: 200,
            // Ten times the period of gossip.
            peer_gone_ms: 2_000,
            heartbeat_ms: 100,
            election_timeout_ms: 600,
            // Ends before another leader can be elected: under 0.9 of the election
            // timeout, as clocks may run apart by a tenth.
            view_lease_ms: 500,
            snapshot_every: 4_096,
            // A balancer that looks every half second has seen it by then.
            stop_notice_ms: 1_000,
            stop_grace_ms: 20_000,
            seed: 0,
        }
    }
}

impl NodeSettings {
    pub(super) fn replica(&self) -> ReplicaSettings {
        ReplicaSettings {
            me: self.me.clone(),
            voters: self.voters.clone(),
            peers: self
                .members
                .keys()
                .filter(|name| **name != self.me)
                .cloned()
                .collect(),
            heartbeat_ms: self.heartbeat_ms,
            election_timeout_ms: self.election_timeout_ms,
            view_lease_ms: self.view_lease_ms,
            snapshot_every: self.snapshot_every,
            seed: self.seed,
        }
    }

    pub(super) fn controller(&self) -> ControllerSettings {
        ControllerSettings {
            dispatch_lease_ms: self.upstream_lease_ms,
            ..ControllerSettings::default()
        }
    }
}
