use crate::control::ServiceClass;
use crate::jobs::TaskId;

/// A run that is to be stopped for more urgent work.
#[derive(Clone, Debug, PartialEq)]
pub struct Victim {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The class of its job.
    pub class: ServiceClass,
    /// Expected time until it would have ended by itself, in milliseconds.
    pub left_ms: f64,
    /// Work that is lost by the stop, in core-milliseconds.
    pub lost_work: f64,
}
