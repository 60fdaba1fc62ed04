use std::collections::BTreeMap;

use super::super::ServiceClass;
use super::{Entry, Lanes, StepDemand};
use crate::model::WorkspaceName;

/// The waiting steps of one pool.
#[derive(Debug, Default)]
pub(in super::super) struct PoolBacklog {
    /// The steps of small jobs, then those of large ones.
    groups: [Lanes; 2],
    /// Processor demand by class, of small and of large jobs, in thousandths of a core.
    demand_milli: BTreeMap<ServiceClass, [u64; 2]>,
    /// The entries of each group after which the next pass resumes.
    pub(super) resume: [Option<Entry>; 2],
}

impl PoolBacklog {
    /// Returns whether no step waits.
    pub(in super::super) fn is_empty(&self) -> bool {
        self.groups.iter().all(Lanes::is_empty)
    }

    /// Returns the steps of small or of large jobs.
    pub(super) fn group(&self, large: bool) -> &Lanes {
        &self.groups[usize::from(large)]
    }

    /// Returns the processor demand of a class, of small and of large jobs, in cores.
    pub(super) fn demand_cores(&self, class: ServiceClass) -> [f64; 2] {
        let milli = self.demand_milli.get(&class).copied().unwrap_or_default();
        milli.map(|milli| milli as f64 / 1_000.0)
    }

    pub(super) fn insert(
        &mut self,
        large: bool,
        workspace: Option<&WorkspaceName>,
        entry: Entry,
        step: StepDemand,
    ) {
        self.demand_milli.entry(entry.rank.class()).or_default()[usize::from(large)] +=
            step.cpu_milli;
        self.groups[usize::from(large)].insert(workspace, entry, step);
    }

    pub(super) fn remove(
        &mut self,
        large: bool,
        workspace: Option<&WorkspaceName>,
        entry: &Entry,
        step: &StepDemand,
    ) {
        self.groups[usize::from(large)].remove(workspace, entry);
        let class = entry.rank.class();
        if let Some(demand) = self.demand_milli.get_mut(&class) {
            demand[usize::from(large)] -= step.cpu_milli;
            if *demand == [0, 0] {
                self.demand_milli.remove(&class);
            }
        }
    }
}
