use crate::model::EntryName;

use super::{Entry, Message, Record};

/// What a replica wants done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer; it may be lost, delayed or doubled.
    Send {
        /// The peer.
        to: EntryName,
        /// What to send.
        message: Message,
    },
    /// Write the records to the data folder in order, sync it, then hand in
    /// [`super::Input::Persisted`]. At most one is under way at a time; what comes
    /// up meanwhile goes into the next, so that many changes share one sync.
    Persist {
        /// Names this write; counts up.
        token: u64,
        /// What to write.
        records: Vec<Record>,
    },
    /// Apply committed entries to the state, in order.
    Apply {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// Replace the state by a snapshot.
    Restore {
        /// The last applied index in it.
        index: u64,
        /// The state's bytes.
        data: Vec<u8>,
    },
    /// Hand in the state's bytes as [`super::Input::SnapshotTaken`].
    TakeSnapshot,
}
