use crate::model::EntryName;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Name of this replica's entry instance.
    pub me: EntryName,
    /// The initial voters. Used only to create a cluster, which needs all of them; after
    /// that the membership in the log is in force.
    pub voters: Vec<EntryName>,
    /// All other entry instances, voters or not.
    pub peers: Vec<EntryName>,
    /// Interval between the heartbeats of a leader, in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest election timeout, in milliseconds; each timeout is drawn at random
    /// between this and one and a half times as much. It must span several heartbeats,
    /// or a single lost message causes an election.
    pub election_timeout_ms: u64,
    /// Duration of the view lease in milliseconds: how long the state of a replica counts
    /// as recent after it sent a message that the leader has confirmed.
    pub view_lease_ms: u64,
    /// Number of entries between snapshots; 0 disables them.
    pub snapshot_every: u64,
    /// Seed of the random number generator. It must differ between starts: the first
    /// number drawn identifies this start of the process.
    pub seed: u64,
}
