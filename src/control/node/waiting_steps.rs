use std::collections::{BTreeMap, BTreeSet};

use crate::control::{Fleet, RunPhase, State};
use crate::jobs::{Job, JobId, Occurrence, TaskId};

/// Interval between two looks.
const LOOK_INTERVAL_MS: u64 = 1_000;
/// Number of jobs that a look visits in rotation.
const JOBS_PER_LOOK: usize = 256;
/// Maximum number of steps that are remembered from one look to the next.
const SUSPECTS_MAX: usize = 256;

/// The steps whose turn has come, of which no run is at work and which something other than
/// room holds, each with the time at which it was first seen so. A step is named by its task
/// with index 0.
///
/// A look visits a part of the active jobs in rotation, so its cost does not grow with the
/// backlog.
#[derive(Debug, Default)]
pub(super) struct WaitingSteps {
    suspects: BTreeMap<TaskId, u64>,
    last_visited: Option<JobId>,
    next_look_ms: u64,
}

impl WaitingSteps {
    /// Returns the steps to look at, those of the last look and of the next jobs of which no run is
    /// at work; `None` if no look is due.
    pub(super) fn take_due(
        &mut self,
        now_ms: u64,
        state: &State,
        fleet: &Fleet,
    ) -> Option<Vec<TaskId>> {
        if now_ms < self.next_look_ms {
            return None;
        }
        self.next_look_ms = now_ms + LOOK_INTERVAL_MS;
        let next = state.active_after(self.last_visited, JOBS_PER_LOOK);
        let next: Vec<JobId> = next.collect();
        self.last_visited = next.last().copied().filter(|_| next.len() == JOBS_PER_LOOK);
        let mut jobs: BTreeSet<JobId> = self.suspects.keys().map(|step| step.job).collect();
        jobs.extend(next);
        let jobs = jobs.into_iter().filter_map(|id| state.job(id));
        let active = jobs.filter(|job| job.verdict.is_none());
        Some(active.flat_map(|job| waiting_steps(job, fleet)).collect())
    }

    /// Remembers the steps that a look found held. Returns those that were held at an earlier look
    /// too, each with the time since then in milliseconds, the longest first.
    pub(super) fn record_held(&mut self, now_ms: u64, held: Vec<TaskId>) -> Vec<(TaskId, u64)> {
        let held = held.into_iter().take(SUSPECTS_MAX);
        let before = std::mem::take(&mut self.suspects);
        self.suspects = held
            .map(|step| (step, before.get(&step).copied().unwrap_or(now_ms)))
            .collect();
        let known = self.suspects.iter();
        let known = known.filter(|(_, since_ms)| **since_ms < now_ms);
        let mut known: Vec<_> = known.map(|(step, ms)| (*step, now_ms - ms)).collect();
        known.sort_by_key(|(_, waited_ms)| std::cmp::Reverse(*waited_ms));
        known
    }
}

/// Returns the steps of a job whose turn has come, that are not done and of which no run is
/// confirmed.
fn waiting_steps(job: &Job, fleet: &Fleet) -> Vec<TaskId> {
    let mut waiting = Vec::new();
    for (number, occurrence) in job.occurrences() {
        for step in 0..job.spec.steps.len() {
            let id = TaskId {
                job: job.id,
                occurrence: number,
                step: step as u16,
                index: 0,
            };
            if !occurrence.step_done(step)
                && occurrence.may_start(&job.spec, step)
                && !is_at_work(occurrence, id, fleet)
            {
                waiting.push(id);
            }
        }
    }
    waiting
}

/// Returns whether a worker has confirmed a run of the step that is not being stopped.
fn is_at_work(occurrence: &Occurrence, step: TaskId, fleet: &Fleet) -> bool {
    let mut runs = occurrence.runs(usize::from(step.step));
    runs.any(|(index, run)| {
        let task = TaskId { index, ..step };
        let view = fleet.run(&run.worker, task, run.attempt);
        view.is_some_and(|view| matches!(view.phase, RunPhase::Running { .. }))
    })
}
