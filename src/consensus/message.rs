use serde::{Deserialize, Serialize};

use crate::model::EntryName;

use super::{Entry, Membership, VoterChange};

/// A message between replicas. None is larger than about half a mebibyte.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Forwards a command to the leader.
    Forward {
        /// The encoded command.
        command: Vec<u8>,
    },
    /// Forwards a change of the voters to the leader.
    ForwardChange {
        /// The requested change.
        change: VoterChange,
    },
    /// The founder asks an initial voter whether it is still empty.
    Found {
        /// Incarnation of the founder, which tells replies to this question from replies
        /// to an earlier founder of the same name.
        founder: u64,
    },
    /// The reply to [`Message::Found`].
    FoundReply {
        /// Copied from [`Message::Found`].
        founder: u64,
        /// Incarnation of the replying data folder.
        incarnation: u64,
        /// Whether the replying voter never voted and has an empty log.
        empty: bool,
    },
    /// A candidate asks for a vote.
    Vote(VoteRequest),
    /// The reply to [`Message::Vote`].
    VoteReply {
        /// Term of the request if the vote is granted, else of the replying replica.
        term: u64,
        /// Copied from the request.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
        /// Incarnation of the replying data folder.
        incarnation: u64,
    },
    /// A heartbeat with new entries, or with none.
    Append {
        /// The heartbeat in each message of a leader.
        beat: Heartbeat,
        /// Index of the entry before `entries`.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Consecutive entries.
        entries: Vec<Entry>,
    },
    /// A chunk of a snapshot, for a replica whose next entry is compacted on the leader.
    Chunk {
        /// The heartbeat in each message of a leader.
        beat: Heartbeat,
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        term: u64,
        /// Membership as of that entry.
        membership: Membership,
        /// Size of the whole snapshot.
        total_bytes: u64,
        /// Offset of this chunk in the snapshot.
        offset_bytes: u64,
        /// Bytes of this chunk.
        data: Vec<u8>,
    },
    /// The reply to [`Message::Append`] and [`Message::Chunk`].
    Reply(Reply),
    /// The leader of this term gives up leadership before a planned stop.
    Resign {
        /// Term of the resigning leader.
        term: u64,
        /// The voter that should start an election at once.
        successor: EntryName,
    },
}

/// A candidate's request for a vote or a pre-vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term in which the candidate wants to lead.
    pub term: u64,
    /// Whether this is a pre-vote, which binds nobody.
    pub pre: bool,
    /// Index of the last entry in the candidate's log.
    pub last_index: u64,
    /// Term of that entry.
    pub last_term: u64,
    /// Incarnation of the receiver in the candidate's membership. A data folder with
    /// another incarnation must not reply.
    pub counted_as: u64,
}

/// The heartbeat that is part of each message of a leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Term of the leader.
    pub term: u64,
    /// Time of sending on the leader's clock, in milliseconds. The reply echoes it.
    pub sent_ms: u64,
    /// The latest timestamp received from the receiver, which extends the receiver's view
    /// lease; `None` while the leader has no quorum.
    pub heard: Option<Timestamp>,
    /// What the receiver has acknowledged as durable in this term.
    pub acked: Option<Acked>,
    /// Commit index of the leader.
    pub commit_index: u64,
}

/// A timestamp on the sender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// Random number that identifies one start of the sender's process. Timestamps of
    /// different starts cannot be compared.
    pub start: u32,
    /// Time on the sender's clock, in milliseconds.
    pub at_ms: u64,
}

/// The part of the log that a data folder has acknowledged as durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acked {
    /// Incarnation of the data folder.
    pub incarnation: u64,
    /// The last acknowledged index.
    pub index: u64,
}

/// A replica's reply to its leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Term of the replica. If it is higher than the leader's, the leader steps down.
    pub term: u64,
    /// [`Heartbeat::sent_ms`] of the message to which this replies.
    pub echo_ms: u64,
    /// Time at which the reply was created.
    pub stamp: Timestamp,
    /// Incarnation of the replica's data folder; `None` without one.
    pub incarnation: Option<u64>,
    /// The highest index applied.
    pub applied_index: u64,
    /// Outcome of the leader's message.
    pub outcome: ReplyOutcome,
}

/// The outcome of a leader's message on the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyOutcome {
    /// The log matches the leader's up to this index, durably if the replica has a data
    /// folder.
    Matched {
        /// The last matching index.
        index: u64,
    },
    /// The entry before the sent ones is missing or has another term.
    Conflict {
        /// Index to try next: no later entry can match.
        index: u64,
    },
    /// The chunks of a snapshot received so far.
    Received {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Contiguous bytes received.
        bytes: u64,
    },
    /// The message is from an older term.
    Stale,
}
