use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::Trail;

/// Repairs remembered of one instance: more than any limit on them.
const REPAIRS_MAX: usize = 8;

/// What the fleet remembers of one instance beside what it is doing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Counts changes, so that a proposer sees whether its own was applied.
    pub revision: u64,
    /// When its duty last changed, in milliseconds of Unix time.
    pub since_unix_ms: u64,
    /// The incarnation that was drained or failed; only a later one returns.
    pub left_incarnation: u64,
    /// When it was repaired, in milliseconds of Unix time, oldest first.
    pub repairs_unix_ms: VecDeque<u64>,
    /// What was decided.
    pub trail: Trail,
}

impl Record {
    /// Remembers that a repair started.
    pub fn repaired(&mut self, at_unix_ms: u64) {
        if self.repairs_unix_ms.len() == REPAIRS_MAX {
            self.repairs_unix_ms.pop_front();
        }
        self.repairs_unix_ms.push_back(at_unix_ms);
    }

    /// Repairs since `unix_ms`.
    pub fn repairs_since(&self, unix_ms: u64) -> usize {
        let recent = |at: &&u64| **at >= unix_ms;
        self.repairs_unix_ms.iter().filter(recent).count()
    }
}
