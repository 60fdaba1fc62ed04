use std::collections::BTreeMap;

use crate::control::{Fleet, State, Timing};
use crate::jobs::{Job, TaskId};
use crate::model::InstanceName;

/// Checks the disruption budgets of lasting steps within one pass.
pub(super) struct DisruptionBudget<'a> {
    now_ms: u64,
    fleet: &'a Fleet,
    stop_timeout_ms: u64,
    /// Tasks that this pass stops, by step (the key has index 0).
    taken: BTreeMap<TaskId, usize>,
}

impl<'a> DisruptionBudget<'a> {
    pub(super) fn new(now_ms: u64, fleet: &'a Fleet, timing: &Timing) -> Self {
        Self {
            now_ms,
            fleet,
            stop_timeout_ms: timing.stop_timeout_ms,
            taken: BTreeMap::new(),
        }
    }

    /// Returns whether the task may be stopped now, and charges it to the budget if so.
    ///
    /// Tasks that crashed, are starting, are being stopped or were not reported lately count
    /// as unavailable as well. Otherwise a stop on top of a crash would disrupt more of a
    /// step than its owner allows.
    pub(super) fn try_take(&mut self, job: &Job, task: TaskId) -> bool {
        let step = &job.spec.steps[usize::from(task.step)];
        let (Some(max), true) = (step.disruption_budget, step.lasting) else {
            return true;
        };
        let key = TaskId { index: 0, ..task };
        let taken = self.taken.get(&key).copied().unwrap_or(0);
        let allowed = self.unavailable_peers(job, task) + taken < usize::from(max);
        if allowed {
            self.taken.insert(key, taken + 1);
        }
        allowed
    }

    /// Counts the other tasks of the step that are not running.
    fn unavailable_peers(&self, job: &Job, task: TaskId) -> usize {
        let Some(occurrence) = job.occurrence(task.occurrence) else {
            return 0;
        };
        let tasks = occurrence.step(usize::from(task.step)).iter().enumerate();
        tasks
            .filter(|(index, _)| *index != usize::from(task.index))
            .filter(|(index, other)| {
                let id = TaskId {
                    index: *index as u16,
                    ..task
                };
                !other.runs.iter().any(|run| {
                    let link = self.fleet.link(&run.worker);
                    link.is_some_and(|link| {
                        let (now_ms, stop_timeout_ms) = (self.now_ms, self.stop_timeout_ms);
                        link.is_fully_running(now_ms, id, run.attempt, stop_timeout_ms)
                    })
                })
            })
            .count()
    }

    /// Counts the tasks on a worker that may not be stopped at present.
    pub(super) fn blocked_tasks(&self, state: &State, worker: &InstanceName) -> usize {
        self.fleet
            .runs_on(state, worker)
            .filter(|(job, task, _)| {
                let step = &job.spec.steps[usize::from(task.step)];
                let max = step.disruption_budget.map_or(usize::MAX, usize::from);
                step.lasting && self.unavailable_peers(job, *task) >= max
            })
            .count()
    }
}
