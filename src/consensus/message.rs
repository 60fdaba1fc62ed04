use serde::{Deserialize, Serialize};

/// One place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place, from 1.
    pub index: u64,
    /// The term of the leader that proposed it.
    pub term: u64,
    /// The command; empty for the replica's own entries.
    pub command: Vec<u8>,
}

/// What replicas say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A command for the leader.
    Forward {
        /// The command's bytes.
        command: Vec<u8>,
    },
    /// Entries from the leader.
    Append {
        /// The entries.
        entries: Vec<Entry>,
    },
    /// The highest index this replica has applied.
    Applied {
        /// The index.
        index: u64,
    },
}
