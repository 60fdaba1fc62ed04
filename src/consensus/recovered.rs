use std::sync::Arc;

use super::{Entry, HardState, Snapshot};

/// What a data folder remembers; the default is a replica without a folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The folder's incarnation, drawn at random when it was created. None for a
    /// learner without a folder.
    pub incarnation: Option<u64>,
    /// The term and the vote.
    pub hard: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}
