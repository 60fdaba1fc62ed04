use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

/// A replica's view of the log and of its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Current role of the replica.
    pub role: Role,
    /// The leader, if it was heard from within the election timeout.
    pub leader: Option<EntryName>,
    /// The current term.
    pub term: u64,
    /// The highest index known to be committed.
    pub commit_index: u64,
    /// The highest applied index.
    pub applied_index: u64,
    /// Whether the view lease is valid: the leader (on the leader: a quorum) was heard from
    /// within it, so that the state of this replica is recent.
    pub fresh: bool,
    /// Names of the voters.
    pub voters: Vec<EntryName>,
    /// On the leader: the highest index each peer is known to have applied.
    pub peers_applied: BTreeMap<EntryName, u64>,
    /// On the leader: latest end of the view lease that each peer may hold, on this
    /// replica's clock. After it, a peer that has not applied an entry knows that its
    /// view is not recent.
    pub peers_lease_end_ms: BTreeMap<EntryName, u64>,
    /// On the leader: the state of each voter.
    pub voter_states: BTreeMap<EntryName, VoterState>,
    /// Whether this replica knows no leader that has a quorum.
    pub quorum_lost: bool,
    /// The highest index in the log.
    pub last_index: u64,
    /// The last index that the latest snapshot covers; 0 without a snapshot.
    pub snapshot_index: u64,
    /// Incarnation of this replica's data folder; `None` without one.
    pub incarnation: Option<u64>,
}

/// A leader's view of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterState {
    /// Incarnation of the voter in the membership.
    pub incarnation: u64,
    /// Whether its current data folder has that incarnation. If not, it is being repaired.
    pub counts: bool,
    /// The last index that it acknowledged as durable.
    pub match_index: u64,
    /// Age of the latest leader message that it answered, in milliseconds.
    pub heard_age_ms: Option<u64>,
}

/// The role of a replica in the consensus protocol.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Orders and commits commands.
    #[display("leader")]
    Leader,
    /// A voter that follows the leader.
    #[display("follower")]
    Follower,
    /// A voter that campaigns in an election.
    #[display("candidate")]
    Candidate,
    /// Follows the leader without a vote.
    #[default]
    #[display("learner")]
    Learner,
}
