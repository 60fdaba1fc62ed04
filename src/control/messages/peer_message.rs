use serde::{Deserialize, Serialize};

use crate::consensus::{Message, Timestamp};
use crate::control::{Answer, Call, Order, OrderOutcome, Presence};
use crate::model::EntryName;

/// Maximum size of the orders or outcomes in one message. It bounds the delay of a
/// heartbeat behind the message on a slow link, and a message with one more item of the
/// largest size still fits into a frame.
const MAX_BATCH_BYTES: usize = 256 << 10;

/// Splits items into batches of at most [`MAX_BATCH_BYTES`]. An item that is larger gets a
/// batch of its own.
pub(in crate::control) fn batches<T>(
    items: Vec<T>,
    size_bytes: impl Fn(&T) -> usize,
) -> Vec<Vec<T>> {
    let mut batches: Vec<Vec<T>> = Vec::new();
    let mut bytes = 0;
    for item in items {
        let size = size_bytes(&item);
        match batches.last_mut() {
            Some(batch) if bytes + size <= MAX_BATCH_BYTES => batch.push(item),
            _ => {
                batches.push(vec![item]);
                bytes = 0;
            }
        }
        bytes += size;
    }
    batches
}

/// A message between control instances, or between control and entry instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the replicated log.
    Log(Message),
    /// A call that is forwarded to the leader.
    Call {
        /// The id that the answer repeats.
        id: u64,
        /// The call.
        call: Call,
    },
    /// The answer to a forwarded call.
    Answer {
        /// The id of the call.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// The sender is up and asks who leads.
    Hello {
        /// Whether the sender has a data folder and can vote.
        has_folder: bool,
    },
    /// The answer to a hello.
    Welcome {
        /// The leader, if the sender knows one that a quorum supports.
        leader: Option<EntryName>,
        /// The sender's term, in which that leader leads.
        term: u64,
        /// All control instances that the sender knows.
        members: Vec<EntryName>,
    },
    /// Orders to workers that a follower carries out for its leader.
    Orders {
        /// The term in which the sender leads.
        term: u64,
        /// The latest stamp that the sender received from the receiver. It bounds the age
        /// of this message on arrival.
        heard: Timestamp,
        /// The orders, with the ids that the leader assigned.
        orders: Vec<Order>,
    },
    /// The outcomes of orders that the sender carried out.
    Outcomes {
        /// The term of the leader that sent the orders.
        term: u64,
        /// The outcomes by the ids that the leader assigned.
        outcomes: Vec<(u64, OrderOutcome)>,
        /// Whether the sender is about to stop and carries out no more orders.
        closing: bool,
    },
    /// A hello of a control instance that says where it runs.
    Presence(Presence),
}
