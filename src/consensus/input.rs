use crate::model::EntryName;

use super::{Message, VoterChange};

/// Everything that can happen to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed. Due at least a few times per heartbeat.
    Tick,
    /// A peer sent a message.
    Message {
        /// The peer.
        from: EntryName,
        /// What it sent.
        message: Message,
    },
    /// This process wants the command in the log. A replica that does not lead
    /// forwards it. There is no answer: the proposer watches what is applied and
    /// proposes again after a timeout; the state tells repeated commands apart.
    /// A command above [`super::COMMAND_LIMIT_BYTES`] or an empty one is dropped.
    Propose {
        /// The command's bytes.
        command: Vec<u8>,
    },
    /// An operator wants the voters changed. Not answered either: the change is
    /// done when [`super::Status::voters`] shows it.
    ChangeVoters {
        /// The change.
        change: VoterChange,
    },
    /// There is another instance that may vote or follow.
    Meet {
        /// Its name.
        name: EntryName,
    },
    /// Give up the lead before a planned stop; nothing on one that does not lead.
    Resign,
    /// The disk finished the write with this token, synced.
    Persisted {
        /// From [`super::Action::Persist`].
        token: u64,
    },
    /// The state's snapshot up to and with `index`, asked for by
    /// [`super::Action::TakeSnapshot`].
    SnapshotTaken {
        /// The last applied index in it.
        index: u64,
        /// The state's bytes.
        data: Vec<u8>,
    },
}
