use std::sync::Arc;

use super::{Entry, HardState, Snapshot};

/// The state recovered from a data folder. The default is that of a replica without one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Incarnation of the data folder, drawn at random at its creation; `None` for a
    /// learner without a folder.
    pub incarnation: Option<u64>,
    /// The last term and vote.
    pub hard: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The consecutive entries after the snapshot.
    pub entries: Vec<Entry>,
}
