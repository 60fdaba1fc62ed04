use serde::{Deserialize, Serialize};

/// Followers that send orders to workers on behalf of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CarriersPolicy {
    /// Most workers that one instance calls.
    ///
    /// Up to this number the leader calls all workers itself: a follower in between adds a
    /// hop in each direction, some milliseconds for each start and each end, and gains
    /// nothing while the leader has capacity. Above it the workers are shared out to as few
    /// followers as possible, since each follower costs the leader messages of its own.
    pub workers_each: usize,
}

impl Default for CarriersPolicy {
    fn default() -> Self {
        Self { workers_each: 120 }
    }
}

impl CarriersPolicy {
    /// Returns how many followers a fleet of `workers` workers needs; 0 if the leader calls
    /// all of them itself.
    pub fn wanted(&self, workers: usize) -> usize {
        let each = self.workers_each.max(1);
        if workers <= each {
            0
        } else {
            workers.div_ceil(each)
        }
    }
}
