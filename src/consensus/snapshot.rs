use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Membership;

/// The state after an entry, in place of all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The voters as of that entry.
    pub membership: Membership,
    /// The state's bytes.
    pub data: Arc<[u8]>,
}
