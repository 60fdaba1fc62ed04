use super::Location;
use crate::model::EntryName;

/// A control instance as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: EntryName,
    /// Where it runs; `None` if it has not said so.
    pub location: Option<Location>,
    /// Time since it was last heard, in milliseconds.
    pub silent_ms: u64,
    /// How long it has been heard without a gap, in milliseconds; 0 while it is silent.
    pub present_ms: u64,
    /// Whether it votes.
    pub is_voter: bool,
}

impl Member {
    /// Returns whether it was heard within the last `within_ms`.
    pub(super) fn is_heard(&self, within_ms: u64) -> bool {
        self.silent_ms <= within_ms
    }
}
