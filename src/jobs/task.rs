use serde::{Deserialize, Serialize};

use super::Run;

/// How far a task is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// The number of its latest start.
    pub attempt: u32,
    /// How often a run of it failed.
    pub failures: u32,
    /// Whether a run of it ended as done.
    pub done: bool,
    /// The latest saved progress; empty for none.
    pub checkpoint: String,
    /// Runs that may be going on.
    pub runs: Vec<Run>,
    /// The worker on which it failed last, to be avoided by the next start.
    pub failed_on: Option<crate::model::InstanceName>,
}

impl Task {
    /// Whether it needs a start.
    pub fn is_waiting(&self) -> bool {
        !self.done && self.runs.is_empty()
    }
}
