use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

use super::{Entry, Snapshot};

/// A record of the write-ahead log, synced before the voter answers and replayed in
/// order after a restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The current term and the vote.
    Hard(HardState),
    /// An entry. It replaces the entry at its index and all later ones.
    Entry(Entry),
    /// Removes all entries from an index on.
    Truncate {
        /// The first removed index.
        from: u64,
    },
    /// A snapshot. It replaces all entries up to its index.
    Snapshot(Arc<Snapshot>),
    /// The data folder took a new incarnation because it had lost acknowledged entries.
    Identity {
        /// The new incarnation.
        incarnation: u64,
    },
}

/// The current term of a replica and its vote in that term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: u64,
    /// The candidate that got the vote in this term.
    pub voted_for: Option<EntryName>,
}
