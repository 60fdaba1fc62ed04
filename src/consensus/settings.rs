use crate::model::EntryName;

/// How a replica is set up.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Its own name.
    pub me: EntryName,
    /// The first voters. Used only to create a cluster, which needs all of them;
    /// afterwards the membership in the log counts.
    pub voters: Vec<EntryName>,
    /// All other entry instances, voters or not.
    pub peers: Vec<EntryName>,
    /// How often a leader shows that it is alive.
    pub heartbeat_ms: u64,
    /// How long without a leader before an election; drawn anew each time
    /// between this and half as much again. Several heartbeats long, or one lost message
    /// costs an election.
    pub election_timeout_ms: u64,
    /// How long what a replica knows counts as recent after the leader confirmed
    /// that it had heard from it.
    pub view_lease_ms: u64,
    /// Entries between snapshots; 0 for no snapshots.
    pub snapshot_every: u64,
    /// Seeds the random numbers. It must differ from start to start: the number
    /// drawn first tells one start of a process from the next.
    pub seed: u64,
}
