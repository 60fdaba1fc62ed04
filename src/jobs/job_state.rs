use serde::{Deserialize, Serialize};

/// How far a job is, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// No task has started.
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks of all occurrences ended as done.
    #[display("completed")]
    Completed,
    /// A task failed as often as its queue allows.
    #[display("failed")]
    Failed,
    /// The caller cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Whether nothing of the job starts any more.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
