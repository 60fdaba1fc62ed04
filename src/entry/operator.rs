use serde::{Deserialize, Serialize};

use crate::model::{ChangeId, Pool};
use crate::state::RowChange;

/// One request at the operators' edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct OperatorId(pub u64);

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// How the system is.
    Status,
    /// The table of weights and limits.
    Table,
    /// Change rows, all or none.
    PutRows {
        /// The change's id.
        change: ChangeId,
        /// Who.
        operator: String,
        /// The rows.
        rows: Vec<RowChange>,
    },
    /// Create or replace a pool.
    PutPool {
        /// The change's id.
        change: ChangeId,
        /// Who.
        operator: String,
        /// The pool.
        pool: Pool,
    },
}

/// What an operator gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// As asked.
    Ok(serde_json::Value),
    /// Refused, with the reason and the remedy.
    Refused(serde_json::Value),
    /// The replicated log could not be reached in time; the change may or may
    /// not be accepted. Sent again under the same change id it is done once.
    Unknown(String),
}
