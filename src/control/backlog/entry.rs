use super::super::Rank;
use crate::jobs::{JobId, Room};

/// A step of which tasks wait; the smallest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in super::super) struct Entry {
    pub(in super::super) rank: Rank,
    pub(in super::super) job: JobId,
    pub(in super::super) occurrence: u32,
    pub(in super::super) step: u16,
}

/// What a step's waiting tasks ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) struct Waits {
    /// Each of them, of a worker.
    pub(in super::super) room: Room,
    /// All of them, in thousandths of a core.
    pub(in super::super) cpu_milli: u64,
}

impl Waits {
    /// All their cores.
    pub(super) fn cores(&self) -> f64 {
        self.cpu_milli as f64 / 1_000.0
    }
}
