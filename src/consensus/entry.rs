use serde::{Deserialize, Serialize};

use super::Membership;

/// One place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place, from 1.
    pub index: u64,
    /// The term of the leader that proposed it.
    pub term: u64,
    /// The command; empty for the replica's own entries.
    pub command: Vec<u8>,
    /// The voters from this entry on, if it changes them. Such an entry counts
    /// from the moment it is in the log, committed or not.
    pub membership: Option<Membership>,
}

impl Entry {
    /// Bytes it takes on the wire beside its command, at most, while it changes
    /// no voters.
    pub const OVERHEAD_BYTES: usize = 32;

    /// Its size for the bounds on batches, in bytes.
    pub fn size_bytes(&self) -> usize {
        let voters = self.membership.as_ref().map_or(0, Membership::size_bytes);
        self.command.len() + voters + Self::OVERHEAD_BYTES
    }
}
