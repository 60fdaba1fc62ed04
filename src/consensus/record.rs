use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

use super::{Entry, Snapshot};

/// What a voter must not forget before it answers; replayed in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The term and the vote.
    Hard(HardState),
    /// An entry. It takes the place of one with the same index and of all after.
    Entry(Entry),
    /// All entries from this index on are void.
    Truncate {
        /// The first void index.
        from: u64,
    },
    /// Takes the place of all entries up to its index.
    Snapshot(Arc<Snapshot>),
    /// The folder gave up its identity and has a new one.
    Identity {
        /// The new incarnation.
        incarnation: u64,
    },
}

/// The term a replica is in and its vote in that term.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The term.
    pub term: u64,
    /// Whom it voted for in this term.
    pub voted_for: Option<EntryName>,
}
