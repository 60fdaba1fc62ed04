use serde::{Deserialize, Serialize};

/// Machines that are powered off while no pool needs them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandbyPolicy {
    /// Whether machines are powered off.
    pub enabled: bool,
    /// A pool keeps the most machines that it needed within this time powered on. To power a
    /// machine off and on costs two moves and the time that they take.
    pub surplus_ms: u64,
    /// The same in rounds of turns; the longer of both times counts.
    /// Machines that are powered off in the course of a round are missed in the next one, and
    /// arrive late.
    pub surplus_rounds: f64,
    /// How long the needs of a pool are observed before any of its machines is powered off.
    pub watch_ms: u64,
    /// Machines of a pool that stay on regardless of its need.
    pub fewest: usize,
}

impl Default for StandbyPolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            surplus_ms: 20_000,
            surplus_rounds: 1.5,
            watch_ms: 20_000,
            fewest: 3,
        }
    }
}

impl StandbyPolicy {
    /// Returns the time over which the most machines that a pool needed stay powered on, given
    /// the duration of a round of turns.
    pub fn surplus_over_ms(&self, round_ms: Option<u64>) -> u64 {
        let rounds_ms = round_ms.map_or(0.0, |ms| ms as f64 * self.surplus_rounds);
        self.surplus_ms.max(rounds_ms as u64)
    }
}
