use serde::{Deserialize, Serialize};

use crate::model::EntryName;

use super::{Entry, Membership, VoterChange};

/// What replicas say to each other. None is larger than about half a mebibyte.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A command for the leader.
    Forward {
        /// The command's bytes.
        command: Vec<u8>,
    },
    /// A change of the voters for the leader.
    ForwardChange {
        /// The change.
        change: VoterChange,
    },
    /// The founder asks whether a first voter is still empty.
    Found {
        /// The founder's incarnation, so that an answer to an earlier founder
        /// under the same name is not taken for one to this one.
        founder: u64,
    },
    /// The answer to [`Message::Found`].
    FoundReply {
        /// From the question.
        founder: u64,
        /// The incarnation of the answering data folder.
        incarnation: u64,
        /// Whether it never voted and holds nothing.
        empty: bool,
    },
    /// A candidate asks for a vote.
    Vote(VoteRequest),
    /// The answer to [`Message::Vote`].
    VoteReply {
        /// Of the request if granted, else of the answering replica.
        term: u64,
        /// From the request.
        pre: bool,
        /// Whether the vote was given.
        granted: bool,
        /// The incarnation that answers.
        incarnation: u64,
    },
    /// The leader shows that it is alive and sends entries, or none.
    Append {
        /// What each message of a leader carries.
        beat: Beat,
        /// The index before the entries.
        prev_index: u64,
        /// The term of the entry at `prev_index`.
        prev_term: u64,
        /// The entries, without a gap.
        entries: Vec<Entry>,
    },
    /// A piece of a snapshot, for a replica whose next entry is compacted away.
    Chunk {
        /// What each message of a leader carries.
        beat: Beat,
        /// The last entry in the snapshot.
        index: u64,
        /// That entry's term.
        term: u64,
        /// The voters as of that entry.
        membership: Membership,
        /// The size of the whole.
        total_bytes: u64,
        /// Where this piece begins.
        offset_bytes: u64,
        /// The piece.
        data: Vec<u8>,
    },
    /// The answer to [`Message::Append`] and [`Message::Chunk`].
    Reply(Reply),
    /// The leader of this term gives up the lead before a planned stop.
    Resign {
        /// The term that it led.
        term: u64,
        /// The voter that should ask for votes at once.
        successor: EntryName,
    },
}

/// A candidate's request for a vote.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term the candidate wants to lead.
    pub term: u64,
    /// Whether it only asks if it would get the vote, which binds nobody.
    pub pre: bool,
    /// The last entry of its log.
    pub last_index: u64,
    /// That entry's term.
    pub last_term: u64,
    /// The incarnation under which the candidate's membership counts the
    /// receiver. Another one must not answer for it.
    pub counted_as: u64,
}

/// What each message of a leader carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The leader's term.
    pub term: u64,
    /// When it was sent, on the leader's clock; comes back in the reply.
    pub sent_ms: u64,
    /// The latest stamp heard from the receiver; none while the leader has no
    /// quorum behind it. Extends the receiver's view lease.
    pub heard: Option<Stamp>,
    /// What the receiver acknowledged as durable in this term.
    pub acked: Option<Acked>,
    /// The leader's commit index.
    pub commit_index: u64,
}

/// A moment on the sender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Tells this start of the sender's process from others: clocks of different
    /// starts can't be compared.
    pub start: u32,
    /// The moment, in milliseconds.
    pub at_ms: u64,
}

/// What a data folder acknowledged as durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acked {
    /// The folder.
    pub incarnation: u64,
    /// The last index it acknowledged.
    pub index: u64,
}

/// A replica's answer to its leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The replica's term; above the leader's, it deposes the leader.
    pub term: u64,
    /// [`Beat::sent_ms`] of the message answered.
    pub echo_ms: u64,
    /// When the answer was made.
    pub stamp: Stamp,
    /// Whose data folder answers, none without one.
    pub incarnation: Option<u64>,
    /// The highest index applied.
    pub applied_index: u64,
    /// What came of the message.
    pub outcome: ReplyOutcome,
}

/// What came of a leader's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplyOutcome {
    /// The log equals the leader's up to this index, durably if it has a folder.
    Matched {
        /// The index.
        index: u64,
    },
    /// The entry before the sent ones is missing or another one.
    Conflict {
        /// Where to try next: no entry after this one can match.
        index: u64,
    },
    /// The pieces of a snapshot received so far.
    Received {
        /// The snapshot's index.
        index: u64,
        /// Bytes received without a gap.
        bytes: u64,
    },
    /// The message was of an old term.
    Stale,
}
