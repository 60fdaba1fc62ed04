use serde::{Deserialize, Serialize};

/// Runs that are stopped so that their machine is free sooner for more urgent work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PreemptionPolicy {
    /// Whether runs are stopped for more urgent work.
    pub enabled: bool,
    /// A run that is expected to end within this time is left to end.
    pub soon_ms: u64,
    /// Time that a job that is on time must have left beyond the restoration of its progress.
    pub slack_ms: u64,
    /// Time during which no second run of the same job is stopped.
    pub again_ms: u64,
    /// Largest work that may be lost on a machine, as a part of the work that it can do in the
    /// time that it is free sooner.
    pub loss_part: f64,
    /// Largest part of all core-seconds that may be lost.
    pub loss_share: f64,
}

impl Default for PreemptionPolicy {
    fn default() -> Self {
        Self {
            enabled: true,
            soon_ms: 300,
            slack_ms: 1_500,
            again_ms: 3_000,
            loss_part: 0.5,
            loss_share: 0.02,
        }
    }
}
