use std::collections::BTreeMap;

use crate::control::ResourceTotals;
use crate::jobs::{Job, Step};
use crate::model::{InstanceName, WorkspaceName};

/// Sums of the resources that the runs of each workspace hold.
///
/// A run counts from its placement until its end is known: what may still run counts. The
/// sums are derived from the jobs, updated by each change of a run, and not part of a
/// snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceUsage(BTreeMap<WorkspaceName, ResourceTotals>);

impl WorkspaceUsage {
    /// Adds up the runs of these jobs.
    pub fn of<'a>(jobs: impl Iterator<Item = &'a Job>) -> Self {
        let mut usage = Self::default();
        for job in jobs.filter(|job| job.workspace.is_some()) {
            for (task, _) in job.runs() {
                usage.add_run(job, usize::from(task.step));
            }
        }
        usage
    }

    /// Returns what the runs of a workspace hold.
    pub fn get(&self, workspace: &WorkspaceName) -> ResourceTotals {
        self.0.get(workspace).copied().unwrap_or_default()
    }

    /// Adds a run of a step.
    pub fn add_run(&mut self, job: &Job, step: usize) {
        let Some((workspace, step)) = charged(job, step) else {
            return;
        };
        let totals = self.0.entry(workspace.clone()).or_default();
        totals.add(&step.demand, 1);
    }

    /// Removes a run of a step.
    pub fn remove_run(&mut self, job: &Job, step: usize) {
        let Some((workspace, step)) = charged(job, step) else {
            return;
        };
        if let Some(totals) = self.0.get_mut(workspace) {
            totals.remove(&step.demand, 1);
            if *totals == ResourceTotals::default() {
                self.0.remove(workspace);
            }
        }
    }

    /// Removes all runs of a job on a worker.
    pub fn remove_runs_on(&mut self, job: &Job, worker: &InstanceName) {
        if job.workspace.is_none() {
            return;
        }
        for (task, _) in job.runs().filter(|(_, run)| run.worker == *worker) {
            self.remove_run(job, usize::from(task.step));
        }
    }
}

/// Returns the workspace that a run of a step is charged to.
fn charged(job: &Job, step: usize) -> Option<(&WorkspaceName, &Step)> {
    Some((job.workspace.as_ref()?, job.spec.steps.get(step)?))
}
