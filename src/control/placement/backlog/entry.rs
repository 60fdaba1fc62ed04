use crate::control::Rank;
use crate::jobs::{JobId, Resources};

/// A step with waiting tasks; the smallest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in super::super) struct Entry {
    pub(in super::super) rank: Rank,
    pub(in super::super) job: JobId,
    pub(in super::super) occurrence: u32,
    pub(in super::super) step: u16,
}

/// The resources that the waiting tasks of a step ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) struct StepDemand {
    /// Room that each task takes of its worker.
    pub(in super::super) room: Resources,
    /// Processor demand of all of them together, in thousandths of a core.
    pub(in super::super) cpu_milli: u64,
}

impl StepDemand {
    /// Returns the processor demand of all tasks, in cores.
    pub(super) fn cores(&self) -> f64 {
        self.cpu_milli as f64 / 1_000.0
    }
}
