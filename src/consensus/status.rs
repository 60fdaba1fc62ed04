use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

/// What a replica knows of the log and of its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
}

/// A replica's part in the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
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
    #[display("learner")]
    Learner,
}
