use serde::{Deserialize, Serialize};

use crate::maintenance::FleetCommand;
use crate::model::{ChangeId, EntryName, Row, RowKey};

/// Tells one proposal from all others, so that its proposer finds its reply.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The entry instance that proposed it.
    pub entry: EntryName,
    /// The entry's start, so that a restart does not use a number again.
    pub incarnation: u64,
    /// Counts the entry's proposals.
    pub sequence: u64,
}

/// A proposed change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// Its id.
    pub id: CommandId,
    /// When it was proposed, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// What is to change.
    pub change: Change,
}

/// What is to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Rows of weights and limits, all or none.
    PutRows {
        /// The operator's id for the change; resent, it gets its first answer.
        change: ChangeId,
        /// Who.
        operator: String,
        /// The rows.
        rows: Vec<RowChange>,
    },
    /// A change of pools, instances or waves.
    Fleet {
        /// The operator's id, none for changes by the system itself.
        change: Option<ChangeId>,
        /// Who: an operator's name, or the part of the system.
        by: String,
        /// The change.
        command: FleetCommand,
    },
}

/// One row as an operator wants it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowChange {
    /// Which row.
    pub key: RowKey,
    /// The version the operator saw, 0 for a new row.
    pub expected_version: u64,
    /// The row wanted, none to remove it.
    pub row: Option<Row>,
}
