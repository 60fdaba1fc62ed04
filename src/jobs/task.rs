use serde::{Deserialize, Serialize};

use super::Run;
use crate::model::InstanceName;

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
    pub failed_on: Option<InstanceName>,
}

impl Task {
    /// Whether it waits for a placement.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }

    /// Whether a run may be in progress.
    pub fn has_run(&self, attempt: u32, worker: &InstanceName) -> bool {
        self.runs.iter().any(|run| run.is(attempt, worker))
    }

    /// Removes a run and returns it, if there is such a run.
    pub fn remove_run(&mut self, attempt: u32, worker: &InstanceName) -> Option<Run> {
        let position = self.runs.iter().position(|run| run.is(attempt, worker))?;
        Some(self.runs.remove(position))
    }
}
