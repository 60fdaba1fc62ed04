use crate::model::EntryName;

use super::{Entry, Message, Record};

/// Work that a replica asks its driver to do. Actions are carried out in the order
/// in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a peer. It may be lost, delayed or duplicated.
    Send {
        /// The receiving peer.
        to: EntryName,
        /// The message to send.
        message: Message,
    },
    /// Write the records to the data folder in order, sync it, then pass
    /// [`super::Input::Persisted`] to the replica. At most one write is in flight at
    /// a time; records that arrive meanwhile are batched into the next one, so that
    /// many changes share one sync.
    Persist {
        /// Identifies this write; increases by one with each write.
        token: u64,
        /// The records to write.
        records: Vec<Record>,
    },
    /// Apply committed entries to the state, in order.
    Apply {
        /// The committed entries.
        entries: Vec<Entry>,
    },
    /// Replace the state with a snapshot.
    Restore {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// The encoded state.
        data: Vec<u8>,
    },
    /// Encode the state and pass it to the replica as
    /// [`super::Input::SnapshotTaken`].
    TakeSnapshot,
}
