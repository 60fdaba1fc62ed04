use serde::{Deserialize, Serialize};

use crate::maintenance::FleetRefusal;

/// What a command brought about; computed alike on every process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The change is in the state.
    Accepted,
    /// The fleet refused it.
    Fleet(FleetRefusal),
}
