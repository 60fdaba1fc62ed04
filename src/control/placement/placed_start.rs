use crate::jobs::TaskId;
use crate::model::InstanceName;

/// The start of a task on a worker, as decided by the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The task to start.
    pub task: TaskId,
    /// Number of this attempt to run the task, counted from 1.
    pub attempt: u32,
    /// The worker that runs it.
    pub worker: InstanceName,
}
