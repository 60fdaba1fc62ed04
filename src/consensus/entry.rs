use serde::{Deserialize, Serialize};

use super::Membership;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, counted from 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// The encoded command; empty for entries that the leader itself adds.
    pub command: Vec<u8>,
    /// The new membership, if this entry changes it. It is in force as soon as the
    /// entry is in the log, committed or not.
    pub membership: Option<Membership>,
}

impl Entry {
    /// Upper bound on the encoded size of an entry beyond its command and membership.
    pub const OVERHEAD_BYTES: usize = 32;

    /// Upper bound on the encoded size, in bytes, by which batches are limited.
    pub fn size_bytes(&self) -> usize {
        let voters = self.membership.as_ref().map_or(0, Membership::size_bytes);
        self.command.len() + voters + Self::OVERHEAD_BYTES
    }
}
