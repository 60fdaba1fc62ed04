use std::collections::BTreeMap;

use super::backlog::Entry;
use crate::control::{Placement, State};
use crate::jobs::{Job, Occurrence, TaskId};
use crate::model::InstanceName;

/// A step of a job's occurrence with the tasks that are to be placed.
pub(in crate::control) struct PendingStep<'a> {
    pub(in crate::control) job: &'a Job,
    pub(super) occurrence_index: u32,
    pub(super) step: usize,
    pub(super) occurrence: &'a Occurrence,
    /// Indices of the tasks that wait and have no proposed start.
    pub(super) waiting: Vec<u16>,
    /// Number of runs of the step in each availability zone.
    pub(super) runs_by_zone: BTreeMap<&'a str, usize>,
}

impl<'a> PendingStep<'a> {
    /// Returns the step of a backlog entry, if the state still has it, without the tasks
    /// whose starts are proposed already and those that `may_start` excludes.
    pub(super) fn find(
        state: &'a State,
        entry: Entry,
        proposed: &BTreeMap<TaskId, Placement>,
        may_start: impl Fn(TaskId) -> bool,
    ) -> Option<Self> {
        let step = TaskId {
            job: entry.job,
            occurrence: entry.occurrence,
            step: entry.step,
            index: 0,
        };
        let mut pending = Self::of_step(state, step, proposed, may_start)?;
        pending.runs_by_zone = pending.count_runs_by_zone(state);
        Some(pending)
    }

    /// Returns a step, named by one of its tasks, without its runs by zone.
    pub(super) fn of_step(
        state: &'a State,
        step: TaskId,
        proposed: &BTreeMap<TaskId, Placement>,
        may_start: impl Fn(TaskId) -> bool,
    ) -> Option<Self> {
        let job = state.job(step.job)?;
        let mut pending = Self {
            job,
            occurrence_index: step.occurrence,
            step: usize::from(step.step),
            occurrence: job.occurrence(step.occurrence)?,
            waiting: Vec::new(),
            runs_by_zone: BTreeMap::new(),
        };
        pending.waiting = pending.waiting_tasks(proposed, may_start);
        Some(pending)
    }

    pub(super) fn task(&self, index: u16) -> TaskId {
        TaskId {
            job: self.job.id,
            occurrence: self.occurrence_index,
            step: self.step as u16,
            index,
        }
    }

    fn waiting_tasks(
        &self,
        proposed: &BTreeMap<TaskId, Placement>,
        may_start: impl Fn(TaskId) -> bool,
    ) -> Vec<u16> {
        let tasks = self.occurrence.step(self.step).iter().enumerate();
        let waiting: Vec<u16> = tasks
            .filter(|(_, task)| task.is_waiting())
            .map(|(index, _)| index as u16)
            .filter(|index| {
                let task = self.task(*index);
                !proposed.contains_key(&task) && may_start(task)
            })
            .collect();
        let step = &self.job.spec.steps[self.step];
        // A gang starts as a whole or not at all.
        if step.gang && waiting.len() < usize::from(step.tasks) {
            return Vec::new();
        }
        waiting
    }

    /// Returns the attempt number that all tasks of a gang share at its next start.
    pub(super) fn next_gang_attempt(&self) -> u32 {
        let tasks = self.occurrence.step(self.step).iter();
        tasks.map(|t| t.attempt).max().unwrap_or(0) + 1
    }

    fn count_runs_by_zone(&self, state: &'a State) -> BTreeMap<&'a str, usize> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for run in self.occurrence.step(self.step).iter().flat_map(|t| &t.runs) {
            if let Some(worker) = state.worker(&run.worker) {
                *counts.entry(worker.report.zone.as_str()).or_default() += 1;
            }
        }
        counts
    }

    /// Counts the runs and proposed starts of the step on each worker.
    pub(super) fn runs_by_worker(
        &self,
        proposed: &BTreeMap<TaskId, Placement>,
    ) -> BTreeMap<InstanceName, u16> {
        let mut counts: BTreeMap<InstanceName, u16> = BTreeMap::new();
        for run in self.occurrence.step(self.step).iter().flat_map(|t| &t.runs) {
            *counts.entry(run.worker.clone()).or_default() += 1;
        }
        let first = self.task(0);
        let last = self.task(u16::MAX);
        for (_, start) in proposed.range(first..=last) {
            *counts.entry(start.worker.clone()).or_default() += 1;
        }
        counts
    }
}
