use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

use crate::control::{Fleet, RunPhase, State};
use crate::jobs::{Job, JobId, Occurrence, TaskId};

/// Time for which a step must wait before it is reported. A start takes a fraction of it.
const REPORTED_AFTER_MS: u64 = 2_000;
/// Interval at which steps that wait are reported.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Maximum number of steps that a report looks at, those that wait longest.
const REPORTED_STEPS_MAX: usize = 64;

/// The steps whose turn has come and of which no run is at work, each with the time at which it
/// was first seen so. A step is named by its task with index 0.
#[derive(Debug, Default)]
pub(super) struct WaitingSteps {
    since_ms: BTreeMap<TaskId, u64>,
    by_age: BTreeSet<(u64, TaskId)>,
    next_report_ms: u64,
}

impl WaitingSteps {
    /// Looks at the steps of a job again.
    pub(super) fn update(&mut self, now_ms: u64, state: &State, fleet: &Fleet, id: JobId) {
        let job = state.job(id).filter(|job| job.verdict.is_none());
        let waiting = job.map_or_else(BTreeSet::new, |job| waiting_steps(job, fleet));
        let known: Vec<(TaskId, u64)> = self
            .since_ms
            .range(first_step(id)..=last_step(id))
            .map(|(step, since_ms)| (*step, *since_ms))
            .collect();
        for (step, since_ms) in known {
            if !waiting.contains(&step) {
                self.since_ms.remove(&step);
                self.by_age.remove(&(since_ms, step));
            }
        }
        for step in waiting {
            if let Entry::Vacant(entry) = self.since_ms.entry(step) {
                entry.insert(now_ms);
                self.by_age.insert((now_ms, step));
            }
        }
    }

    /// Returns the steps that have waited for long, the longest first, with their waiting times
    /// in milliseconds, if a report is due.
    pub(super) fn take_report(&mut self, now_ms: u64) -> Vec<(TaskId, u64)> {
        if now_ms < self.next_report_ms {
            return Vec::new();
        }
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
        let waited = self
            .by_age
            .iter()
            .map(|(since_ms, step)| (*step, now_ms.saturating_sub(*since_ms)));
        let long = waited.take_while(|(_, waited_ms)| *waited_ms >= REPORTED_AFTER_MS);
        long.take(REPORTED_STEPS_MAX).collect()
    }
}

/// Returns the steps of a job whose turn has come, that are not done and of which no run is
/// confirmed.
fn waiting_steps(job: &Job, fleet: &Fleet) -> BTreeSet<TaskId> {
    let mut waiting = BTreeSet::new();
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
                waiting.insert(id);
            }
        }
    }
    waiting
}

/// Returns whether a worker has confirmed a run of the step that is not being stopped.
fn is_at_work(occurrence: &Occurrence, step: TaskId, fleet: &Fleet) -> bool {
    let tasks = occurrence.step(usize::from(step.step)).iter().enumerate();
    let mut runs = tasks.flat_map(|(index, task)| task.runs.iter().map(move |run| (index, run)));
    runs.any(|(index, run)| {
        let task = TaskId {
            index: index as u16,
            ..step
        };
        let view = fleet.run(&run.worker, task, run.attempt);
        view.is_some_and(|view| matches!(view.phase, RunPhase::Running { .. }))
    })
}

fn first_step(job: JobId) -> TaskId {
    TaskId {
        job,
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn last_step(job: JobId) -> TaskId {
    TaskId {
        job,
        occurrence: u32::MAX,
        step: u16::MAX,
        index: u16::MAX,
    }
}
