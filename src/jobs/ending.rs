use serde::{Deserialize, Serialize};

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Ending {
    /// It did its work.
    #[display("done")]
    Done,
    /// It failed, by its own fault or its worker's. Counts as an attempt.
    #[display("failed")]
    Failed,
    /// It was stopped by order.
    #[display("stopped")]
    Stopped,
    /// Its lease ran out.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// The other members of its gang did not come in time.
    #[display("alone")]
    Alone,
}
