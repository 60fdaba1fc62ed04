use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::Trail;

/// Repairs recorded per instance; larger than any limit on repairs.
const MAX_RECORDED_REPAIRS: usize = 8;

/// History of one instance, beside its current duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of changes; shows a proposer whether its own was applied.
    pub revision: u64,
    /// When its duty last changed, in milliseconds of Unix time.
    pub since_unix_ms: u64,
    /// The incarnation that was drained or failed; only a later one may return.
    pub left_incarnation: u64,
    /// Start times of its repairs, in milliseconds of Unix time, oldest first.
    pub repairs_unix_ms: VecDeque<u64>,
    /// Audit trail of decisions about the instance.
    pub trail: Trail,
}

impl Record {
    /// Records the start of a repair.
    pub fn record_repair(&mut self, at_unix_ms: u64) {
        if self.repairs_unix_ms.len() == MAX_RECORDED_REPAIRS {
            self.repairs_unix_ms.pop_front();
        }
        self.repairs_unix_ms.push_back(at_unix_ms);
    }

    /// Number of repairs that started at or after `unix_ms`.
    pub fn repairs_since(&self, unix_ms: u64) -> usize {
        let recent = |at: &&u64| **at >= unix_ms;
        self.repairs_unix_ms.iter().filter(recent).count()
    }
}
