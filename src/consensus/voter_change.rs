use serde::{Deserialize, Serialize};

use crate::model::EntryName;

/// A change of the voters, one at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VoterChange {
    /// Adds an entry instance that has a data folder, once it has caught up.
    Add(EntryName),
    /// Removes a voter; it goes on as a learner. The last one stays.
    Remove(EntryName),
}
