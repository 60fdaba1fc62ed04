use serde::{Deserialize, Serialize};

use super::{Answer, Call, Order, OrderOutcome};
use crate::consensus::{Message, Stamp};
use crate::model::EntryName;

/// Orders or outcomes in one message, by their bytes: a heartbeat waits behind no more
/// than that on a slow link, and with one of the largest on top it fits into a frame.
const BATCH_LIMIT_BYTES: usize = 256 << 10;

/// Cuts a row into parts of at most [`BATCH_LIMIT_BYTES`], or of one that is larger.
pub(super) fn batches<T>(all: Vec<T>, size_bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut batches: Vec<Vec<T>> = Vec::new();
    let mut bytes = 0;
    for one in all {
        let size = size_bytes(&one);
        match batches.last_mut() {
            Some(batch) if bytes + size <= BATCH_LIMIT_BYTES => batch.push(one),
            _ => {
                batches.push(vec![one]);
                bytes = 0;
            }
        }
        bytes += size;
    }
    batches
}

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
        /// The sender's term, which that leader leads.
        term: u64,
        /// All control instances that the sender knows.
        members: Vec<EntryName>,
    },
    /// Orders to workers that a follower carries out for its leader.
    Orders {
        /// The term that the sender leads.
        term: u64,
        /// The latest stamp that the sender heard from the receiver: tells how old this
        /// message is at most when it arrives.
        heard: Stamp,
        /// The orders, with the numbers of the leader.
        orders: Vec<Order>,
    },
    /// What came of orders that the sender carried out.
    Outcomes {
        /// The term of the leader who gave the orders.
        term: u64,
        /// By the leader's numbers.
        outcomes: Vec<(u64, OrderOutcome)>,
        /// Whether the sender is about to end and carries nothing more.
        closing: bool,
    },
}
