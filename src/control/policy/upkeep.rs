use serde::{Deserialize, Serialize};

/// Maintenance waves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpkeepPolicy {
    /// How long the drain of a machine waits for tasks that end by themselves. Most run a
    /// second or two; the others are then stopped with their progress saved.
    pub patience_ms: u64,
    /// Fraction of a wave's duration within which all upkeeps are planned to begin. The rest
    /// is a reserve for machines that are down or full when they are due.
    pub goal_part: f64,
}

impl Default for UpkeepPolicy {
    fn default() -> Self {
        Self {
            patience_ms: 2_500,
            goal_part: 0.75,
        }
    }
}
