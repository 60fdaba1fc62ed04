use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

/// What a replica knows of the log and of its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// What it does.
    pub role: Role,
    /// The leader it last heard, if it counts as alive.
    pub leader: Option<EntryName>,
    /// The present term.
    pub term: u64,
    /// The highest committed index known.
    pub commit_index: u64,
    /// The highest applied index.
    pub applied_index: u64,
    /// Whether the leader (or, for the leader, a quorum) was heard within the
    /// view lease, so that what it knows is recent.
    pub fresh: bool,
    /// The voters.
    pub voters: Vec<EntryName>,
    /// On the leader: the highest index each peer is known to have applied.
    pub peers_applied: BTreeMap<EntryName, u64>,
    /// On the leader: when the view lease that each peer may hold ends at the
    /// latest, on this replica's clock. After that moment a peer that has not
    /// applied an entry knows that its view is not recent.
    pub peers_lease_end_ms: BTreeMap<EntryName, u64>,
    /// On the leader: what it knows of each voter.
    pub voter_states: BTreeMap<EntryName, VoterState>,
    /// Whether no leader with a quorum behind it is known here.
    pub quorum_lost: bool,
    /// The highest index in the log.
    pub last_index: u64,
    /// The last index in the latest snapshot, 0 for none.
    pub snapshot_index: u64,
    /// The incarnation of this replica's data folder.
    pub incarnation: Option<u64>,
}

/// What a leader knows of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterState {
    /// The incarnation under which the membership counts it.
    pub incarnation: u64,
    /// Whether its present data folder is that one. If not, it is being repaired.
    pub counts: bool,
    /// The last index it acknowledged as durable.
    pub match_index: u64,
    /// Age of the latest message of the leader that it answered, in milliseconds.
    pub heard_age_ms: Option<u64>,
}

/// A replica's part in the agreement.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Orders commands.
    #[display("leader")]
    Leader,
    /// Votes and follows.
    #[display("follower")]
    Follower,
    /// Asks for votes.
    #[display("candidate")]
    Candidate,
    /// Follows without a vote.
    #[default]
    #[display("learner")]
    Learner,
}
