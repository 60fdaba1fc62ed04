use std::collections::BTreeMap;

use super::backlog::Entry;
use super::{Placement, State};
use crate::jobs::{Job, Occurrence, TaskId};
use crate::model::InstanceName;

/// A step of an occurrence of a job, and what the scheduler asks of it.
pub(super) struct StepPlace<'a> {
    pub(super) job: &'a Job,
    pub(super) k: u32,
    pub(super) step: usize,
    pub(super) occurrence: &'a Occurrence,
    /// The tasks that wait and of which no start is on its way.
    pub(super) waiting: Vec<u16>,
}

impl<'a> StepPlace<'a> {
    /// The step of an entry, if it is there, beside the starts that are on their way.
    pub(super) fn find(
        state: &'a State,
        entry: Entry,
        proposed: &BTreeMap<TaskId, Placement>,
    ) -> Option<Self> {
        let job = state.job(entry.job)?;
        let mut place = Self {
            job,
            k: entry.occurrence,
            step: usize::from(entry.step),
            occurrence: job.occurrence(entry.occurrence)?,
            waiting: Vec::new(),
        };
        place.waiting = place.waiting_beside(proposed);
        Some(place)
    }

    pub(super) fn task(&self, index: u16) -> TaskId {
        TaskId {
            job: self.job.id,
            occurrence: self.k,
            step: self.step as u16,
            index,
        }
    }

    fn waiting_beside(&self, proposed: &BTreeMap<TaskId, Placement>) -> Vec<u16> {
        let tasks = self.occurrence.step(self.step).iter().enumerate();
        let waiting: Vec<u16> = tasks
            .filter(|(_, task)| task.is_waiting())
            .map(|(index, _)| index as u16)
            .filter(|index| !proposed.contains_key(&self.task(*index)))
            .collect();
        let step = &self.job.spec.steps[self.step];
        // A gang starts whole or not at all.
        if step.gang && waiting.len() < usize::from(step.tasks) {
            return Vec::new();
        }
        waiting
    }

    pub(super) fn gang_attempt(&self) -> u32 {
        let tasks = self.occurrence.step(self.step).iter();
        tasks.map(|t| t.attempt).max().unwrap_or(0) + 1
    }

    /// Runs of the step on each worker.
    pub(super) fn counts(
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
