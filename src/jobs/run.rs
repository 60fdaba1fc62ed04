use serde::{Deserialize, Serialize};

use crate::model::InstanceName;

/// A run of a task that may be in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The number of the attempt, counted from 1 for each task.
    pub attempt: u32,
    /// The incarnation of the worker that the order to start is for.
    pub worker: InstanceName,
    /// When the run was placed, before the order was sent, in milliseconds of Unix
    /// time.
    pub placed_unix_ms: u64,
}

impl Run {
    /// Whether it is this attempt on this worker.
    pub fn is(&self, attempt: u32, worker: &InstanceName) -> bool {
        self.attempt == attempt && self.worker == *worker
    }
}
