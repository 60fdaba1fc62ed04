use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Membership;

/// The state after an entry, which replaces all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership as of that entry.
    pub membership: Membership,
    /// The encoded state.
    pub data: Arc<[u8]>,
}
