use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::JobId;

/// A task's id: its job, the occurrence of the job, the step and its index there.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence, from 0.
    pub occurrence: u32,
    /// The index of the step, from 0.
    pub step: u16,
    /// The index of the task in the step, from 0.
    pub index: u16,
}

/// The error for text that is not a task id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("a task's name is JOB.OCCURRENCE.STEP.INDEX")]
pub struct TaskIdFault;

impl FromStr for TaskId {
    type Err = TaskIdFault;

    fn from_str(text: &str) -> Result<Self, TaskIdFault> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(TaskIdFault);
        let id = Self {
            job: next()?.parse().map_err(|_| TaskIdFault)?,
            occurrence: next()?.parse().map_err(|_| TaskIdFault)?,
            step: next()?.parse().map_err(|_| TaskIdFault)?,
            index: next()?.parse().map_err(|_| TaskIdFault)?,
        };
        parts.next().is_none().then_some(id).ok_or(TaskIdFault)
    }
}
