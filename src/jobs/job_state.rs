use serde::{Deserialize, Serialize};

/// The state of a job that its caller sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks of all occurrences are done.
    #[display("completed")]
    Completed,
    /// A task reached the number of failures that its queue allows.
    #[display("failed")]
    Failed,
    /// The caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Whether the state is final: no task of the job starts any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
