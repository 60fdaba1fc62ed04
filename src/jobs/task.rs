use serde::{Deserialize, Serialize};

use super::Run;

/// The progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The number of its latest attempt.
    pub attempt: u32,
    /// The number of runs of it that failed.
    pub failures: u32,
    /// Whether a run of it completed.
    pub done: bool,
    /// The latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Runs that may be in progress.
    pub runs: Vec<Run>,
    /// The worker on which it last failed, which the next placement avoids.
    pub failed_on: Option<crate::model::InstanceName>,
}

impl Task {
    /// Whether it waits for a placement.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}
