use serde::{Deserialize, Serialize};

use super::{Answer, Call};
use crate::consensus::Message;
use crate::model::EntryName;

/// What control instances and entry instances say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Of the replicated log.
    Log(Message),
    /// A call for the leader.
    Call {
        /// Names it in the answer.
        id: u64,
        /// The call.
        call: Call,
    },
    /// The answer to a call.
    Answer {
        /// From the call.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// The sender is there and wants to know who leads.
    Hello {
        /// Whether it has a data folder and would vote.
        has_folder: bool,
    },
    /// The answer to a hello.
    Welcome {
        /// The leader, if the sender knows one with a quorum behind it.
        leader: Option<EntryName>,
        /// All control instances that the sender knows.
        members: Vec<EntryName>,
    },
}
