use serde::{Deserialize, Serialize};

/// Division of machines among pools that together need more than there are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ArbitrationPolicy {
    /// Whether scarce machines go first to work that is on time and within its workspace's
    /// share, by priority. It has an effect only where queues differ in priority or
    /// workspaces have shares.
    pub enabled: bool,
    /// Part of the machines left that each class of work leaves to the classes after it, so
    /// that none starves.
    pub rest_part: f64,
    /// Longest drain of a machine that entitled work of another pool waits for.
    pub empty_ms: u64,
}

impl Default for ArbitrationPolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            rest_part: 0.5,
            empty_ms: 3_000,
        }
    }
}
