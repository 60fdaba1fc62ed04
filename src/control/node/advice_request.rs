use crate::jobs::TaskId;
use crate::model::InstanceName;

/// A request to the advisor without an answer.
#[derive(Debug)]
pub(super) struct AdviceRequest {
    /// The step, named by its task with index 0.
    pub(super) step: TaskId,
    /// The workers that it names.
    pub(super) workers: Vec<InstanceName>,
    /// When it was sent.
    pub(super) sent_ms: u64,
    /// How long the advisor takes for it.
    pub(super) takes_ms: u64,
    /// For how long its tickets are valid.
    pub(super) validity_ms: u64,
}
