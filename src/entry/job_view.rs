use crate::model::Outcome;

/// State of a patient job as a caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobView {
    /// The job waits to be assigned to an entry instance.
    Waiting,
    /// The job is assigned to an entry instance; an attempt may be in flight.
    Running,
    /// The job has ended, with this outcome.
    Ended(Outcome),
    /// The job had ended before it could be cancelled; query it for its outcome.
    Over,
    /// The job is unknown or no longer kept.
    NotFound,
}
