//! Settings of an entry instance, and the settings of its parts derived from them.

use std::collections::BTreeMap;

use crate::consensus::ReplicaSettings;
use crate::maintenance::ControllerSettings;
use crate::model::{EntryName, ZoneName};

/// Settings of an entry instance.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of this entry instance.
    pub me: EntryName,
    /// Identifies this start of the process; a value that is never used again for this
    /// name.
    pub incarnation: u64,
    /// Availability zone of this entry instance.
    pub zone: ZoneName,
    /// All entry instances of the system, this one included, with their zones.
    pub members: BTreeMap<EntryName, ZoneName>,
    /// The initial voters of the cluster.
    pub voters: Vec<EntryName>,
    /// Lease granted by an upstream's report, in milliseconds.
    pub upstream_lease_ms: u64,
    /// Interval between reports of an upstream, in milliseconds.
    pub refresh_ms: u64,
    /// Interval between gossip messages about upstreams and load, in milliseconds.
    pub gossip_ms: u64,
    /// Silence after which a peer counts as gone, in milliseconds.
    pub peer_gone_ms: u64,
    /// Interval between heartbeats of the log's leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without a leader before an election starts, in milliseconds.
    pub election_timeout_ms: u64,
    /// How long the view counts as fresh after the leader's last message, in
    /// milliseconds.
    pub view_lease_ms: u64,
    /// Number of log entries between snapshots.
    pub snapshot_every: u64,
    /// How long calls are still accepted after a planned stop began, in milliseconds,
    /// so that the balancer learns of it before it meets refusals.
    pub stop_notice_ms: u64,
    /// Longest time a planned stop waits for requests in flight, in milliseconds.
    pub stop_grace_ms: u64,
    /// Seed of random choices; must differ between starts.
    pub seed: u64,
}

impl Default for NodeSettings {
    /// Defaults for zones with about a millisecond of latency between them. Names and
    /// members are placeholders.
    fn default() -> Self {
        Self {
            me: EntryName::from("entry"),
            incarnation: 1,
            zone: ZoneName::from("zone"),
            members: BTreeMap::new(),
            voters: Vec::new(),
            upstream_lease_ms: 3_000,
            refresh_ms: 1_000,
            // Five times as often as reports: peers learn of load this much later.
            gossip_ms: 200,
            // Ten gossip intervals.
            peer_gone_ms: 2_000,
            heartbeat_ms: 100,
            election_timeout_ms: 600,
            // Ends before another leader can be elected: under 0.9 of the election
            // timeout, as clock rates may differ by a tenth.
            view_lease_ms: 500,
            snapshot_every: 4_096,
            // A balancer that checks health every half second has seen the stop by
            // then.
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
