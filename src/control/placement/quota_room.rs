use std::collections::{BTreeMap, BTreeSet};

use super::Placement;
use crate::control::{ResourceTotals, State};
use crate::jobs::{Job, TaskId};
use crate::model::WorkspaceName;

/// What the quotas of the workspaces leave to be started in a scheduling pass.
///
/// A run counts from its proposal, before it is in the replicated state, until its end is
/// known there.
pub(super) struct QuotaRoom<'a> {
    state: &'a State,
    /// What runs and proposed starts hold, of the workspaces that the pass has met.
    used: BTreeMap<WorkspaceName, ResourceTotals>,
    /// What proposed starts hold.
    proposed: BTreeMap<&'a WorkspaceName, ResourceTotals>,
    /// Workspaces with a waiting step for which their quota has no room.
    reached: BTreeSet<WorkspaceName>,
}

impl<'a> QuotaRoom<'a> {
    pub(super) fn new(state: &'a State, proposed: &BTreeMap<TaskId, Placement>) -> Self {
        let mut room = Self {
            state,
            used: BTreeMap::new(),
            proposed: BTreeMap::new(),
            reached: BTreeSet::new(),
        };
        for task in proposed.keys() {
            let Some(job) = state.job(task.job) else {
                continue;
            };
            if let Some(workspace) = &job.workspace
                && let Some(step) = job.spec.steps.get(usize::from(task.step))
            {
                let totals = room.proposed.entry(workspace).or_default();
                totals.add(&step.demand, 1);
            }
        }
        room
    }

    /// Returns how many tasks of a step may start. A workspace that is no longer configured
    /// has no quota: its accepted jobs are finished.
    pub(super) fn count_fitting(&mut self, job: &Job, step: usize) -> usize {
        let configuration = self.state.configuration();
        let workspace = job
            .workspace
            .as_ref()
            .and_then(|name| configuration?.workspace(name.as_str()));
        let Some(workspace) = workspace else {
            return usize::MAX;
        };
        let used = self.used(&workspace.name);
        let demand = &job.spec.steps[step].demand;
        workspace.quota.count_fitting(&used, demand)
    }

    /// Counts the starts of a step.
    pub(super) fn record_starts(&mut self, job: &Job, step: usize, starts: usize) {
        if let Some(workspace) = &job.workspace {
            let mut used = self.used(workspace);
            used.add(&job.spec.steps[step].demand, starts as u64);
            self.used.insert(workspace.clone(), used);
        }
    }

    /// Records that a workspace has a waiting step for which its quota has no room.
    pub(super) fn record_reached(&mut self, workspace: &WorkspaceName) {
        self.reached.insert(workspace.clone());
    }

    /// Returns the workspaces with a waiting step for which their quota had no room.
    pub(super) fn into_reached(self) -> BTreeSet<WorkspaceName> {
        self.reached
    }

    fn used(&mut self, workspace: &WorkspaceName) -> ResourceTotals {
        if let Some(used) = self.used.get(workspace) {
            return *used;
        }
        let mut used = self.state.usage().get(workspace);
        if let Some(proposed) = self.proposed.get(workspace) {
            used.cpu_milli += proposed.cpu_milli;
            used.memory_mb += proposed.memory_mb;
            used.accelerators += proposed.accelerators;
        }
        self.used.insert(workspace.clone(), used);
        used
    }
}
