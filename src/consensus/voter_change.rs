use serde::{Deserialize, Serialize};

use crate::model::EntryName;

/// A change of the voters. Changes are carried out one at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VoterChange {
    /// Adds an entry instance with a data folder as a voter once it has caught up.
    Add(EntryName),
    /// Removes a voter, which continues as a learner. The last voter cannot be removed.
    Remove(EntryName),
}
