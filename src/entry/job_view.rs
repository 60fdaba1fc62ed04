use crate::model::Outcome;

/// What a caller is told of a patient job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobView {
    /// It waits for its turn.
    Waiting,
    /// An attempt is under way.
    Running,
    /// It has ended, with this outcome.
    Ended(Outcome),
    /// It has ended before; ask for its outcome.
    Over,
    /// Not known here, or no longer kept.
    NotFound,
}
