use serde::{Deserialize, Serialize};

/// Runs that stall or fail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunsPolicy {
    /// Lease that a worker gets with each renewal, if it accepts one of that length. It
    /// exceeds the time of a leader change, an election of about a second and a first
    /// renewal, as otherwise every loss of a leader would end all runs. The tasks of a lost
    /// worker start elsewhere once its lease has expired, so it is no longer than needed.
    pub lease_ms: u64,
    /// Time without progress after which a run counts as stalled. A task that works advances
    /// by a percent in a fraction of that, and a report is at most a second old. 0 disables
    /// the check.
    pub still_ms: u64,
    /// Number of recent failures from which a worker gets no new tasks for a while. Two tasks
    /// in a row that fail by their own fault on one worker are rare. 0 disables the check.
    pub failures_max: f64,
    /// How long such a worker gets no new tasks; after that one more failure excludes it
    /// again.
    pub failures_rest_ms: u64,
}

impl Default for RunsPolicy {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            still_ms: 1_600,
            failures_max: 2.5,
            failures_rest_ms: 4_000,
        }
    }
}
