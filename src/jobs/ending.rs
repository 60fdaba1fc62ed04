use serde::{Deserialize, Serialize};

/// The result of a run of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum RunResult {
    /// The run completed its work.
    #[display("done")]
    Done,
    /// The run failed, by its own fault or its worker's. Counts towards
    /// [`Job::attempts_max`](super::Job::attempts_max).
    #[display("failed")]
    Failed,
    /// The run was stopped by an order.
    #[display("stopped")]
    Stopped,
    /// The run's lease expired.
    #[display("lapsed")]
    Lapsed,
    /// Another task of its gang ended.
    #[display("broken")]
    Broken,
    /// The other tasks of its gang did not start in time.
    #[display("alone")]
    Alone,
}
