use serde::{Deserialize, Serialize};

/// Moves of machines between pools.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MovesPolicy {
    /// Whether machines move with demand.
    pub enabled: bool,
    /// Shortest stay of a machine in a pool. It does no work while it moves, so a shorter stay
    /// does not pay off.
    pub stay_ms: u64,
    /// A pool keeps the most machines that it needed within this time. A gap between two
    /// arrivals is shorter, so it does not release machines.
    pub surplus_ms: u64,
    /// Longest drain of a machine for a move; after that it stays in its pool, because the
    /// surplus that it was taken from may no longer exist.
    pub empty_ms: u64,
    /// Machines that a pool keeps regardless of its need, if it has them.
    pub fewest: usize,
}

impl Default for MovesPolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            stay_ms: 2_500,
            surplus_ms: 400,
            empty_ms: 1_200,
            fewest: 3,
        }
    }
}
