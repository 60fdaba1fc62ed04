//! Faults of tasks, which are told from those of their workers.
//!
//! A run may fail or stall because its worker is defective, or because its task can never be
//! done. A defective worker gets no work for a while. If the faults of a task counted against its
//! workers like their own, a single bad job would close one worker after the other, and sound
//! jobs would wait beside idle machines. So a fault counts less against a worker the more other
//! workers have had one with the same step, and the more often it was the same step on this
//! worker. It counts in full if runs of the step complete, or outlive it on other workers.
//!
//! A task that fails soon after each of its starts is started again with a growing delay, and for
//! a moment not on the worker where it failed.

use std::collections::BTreeMap;

use crate::jobs::{JobId, TaskId};
use crate::model::InstanceName;

/// A run that worked for this long before it failed is no failed start.
const SOUND_RUN_MS: u64 = 2_000;
/// Failed starts in a row of a lasting task after which it is started again at once. One may be
/// due to its worker.
const LASTING_IMMEDIATE: u32 = 1;
/// The same for other tasks, whose failures their queue limits.
const LIMITED_IMMEDIATE: u32 = 3;
/// First delay, which doubles with each further failed start.
const MIN_DELAY_MS: u64 = 500;
/// Longest delay of a lasting task.
const LASTING_MAX_DELAY_MS: u64 = 4_000;
/// Longest delay of another task.
const LIMITED_MAX_DELAY_MS: u64 = 2_000;
/// Time in which a task that failed is not started on the same worker. Meanwhile it shows whether
/// other workers fail the step as well.
const AVOID_MS: u64 = 1_000;
/// By how much longer a run has to have worked than one that failed, so that it counts as sound:
/// the news of its own failure may be on its way.
pub const OUTLIVING_MARGIN_MS: u64 = 500;
/// Workers that are kept for a step.
const WORKERS_MAX: usize = 32;
/// Time without a fault after which the failed starts of a task, and the faults of a step, are
/// forgotten.
const FORGET_AFTER_MS: u64 = 60_000;

/// What a leader knows about the faults of tasks.
#[derive(Debug, Default)]
pub struct TaskFaults {
    tasks: BTreeMap<TaskId, TaskRecord>,
    /// By the step's task 0.
    steps: BTreeMap<TaskId, StepRecord>,
}

/// A run that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedRun {
    /// Time from its placement to the news of its failure, in milliseconds.
    pub worked_ms: u64,
    /// Number of runs of its step on other workers that have worked for longer by
    /// [`OUTLIVING_MARGIN_MS`].
    pub outliving: usize,
    /// Whether its task may fail any number of times.
    pub restarts: Restarts,
}

/// Whether a task may fail any number of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restarts {
    /// It is started again however it ends.
    Lasting,
    /// Its queue limits its attempts.
    Limited,
}

#[derive(Debug, Default)]
struct TaskRecord {
    /// Failed starts in a row.
    failed_starts: u32,
    /// Runs that were stopped as stalled.
    stalls: u32,
    /// Time before which it is not started again.
    restart_ms: u64,
    changed_ms: u64,
}

#[derive(Debug, Default)]
struct StepRecord {
    /// Number of faults on each worker.
    faults: BTreeMap<InstanceName, u32>,
    /// Runs that completed since the first fault.
    done: u32,
    changed_ms: u64,
}

impl StepRecord {
    /// Records a fault and returns the share of it that counts against the worker; `outliving` is
    /// the number of runs of the step elsewhere that have worked for longer.
    fn record(&mut self, now_ms: u64, worker: &InstanceName, outliving: usize) -> f64 {
        self.changed_ms = now_ms;
        let elsewhere = self.faults.keys().filter(|name| *name != worker).count();
        let before = self.faults.get(worker).copied().unwrap_or(0);
        if before > 0 || self.faults.len() < WORKERS_MAX {
            self.faults.insert(worker.clone(), before.saturating_add(1));
        }
        let sound = f64::from(self.done) + outliving as f64;
        (sound + 0.5_f64.powf(f64::from(before))) / (sound + elsewhere as f64 + 1.0)
    }
}

impl TaskFaults {
    /// Records that a run failed, and delays the next start of its task. `jitter` is between 0 and
    /// 1. Returns the share of the failure that counts against the worker.
    pub fn run_failed(
        &mut self,
        now_ms: u64,
        task: TaskId,
        worker: &InstanceName,
        failed: FailedRun,
        jitter: f64,
    ) -> f64 {
        self.delay_restart(now_ms, task, failed.worked_ms, failed.restarts, jitter);
        self.record_step(now_ms, task, worker, failed.outliving)
    }

    /// Records that a run of a lasting task ended by itself, and delays its next start like that
    /// of one that failed.
    pub fn lasting_run_done(&mut self, now_ms: u64, task: TaskId, worked_ms: u64, jitter: f64) {
        self.delay_restart(now_ms, task, worked_ms, Restarts::Lasting, jitter);
    }

    fn delay_restart(
        &mut self,
        now_ms: u64,
        task: TaskId,
        worked_ms: u64,
        restarts: Restarts,
        jitter: f64,
    ) {
        let record = self.tasks.entry(task).or_default();
        if worked_ms >= SOUND_RUN_MS {
            record.failed_starts = 0;
        }
        record.failed_starts = record.failed_starts.saturating_add(1);
        let delay_ms = longest_delay_ms(record.failed_starts, restarts) as f64;
        record.restart_ms = now_ms + (delay_ms * (0.5 + 0.5 * jitter)) as u64;
        record.changed_ms = now_ms;
    }

    /// Records that a run is stopped as stalled. Returns the share that counts against the
    /// worker.
    pub fn run_stalled(&mut self, now_ms: u64, task: TaskId, worker: &InstanceName) -> f64 {
        let record = self.tasks.entry(task).or_default();
        record.stalls = record.stalls.saturating_add(1);
        record.changed_ms = now_ms;
        self.record_step(now_ms, task, worker, 0)
    }

    /// Records that a run completed.
    pub fn run_done(&mut self, task: TaskId) {
        self.tasks.remove(&task);
        if let Some(step) = self.steps.get_mut(&step_of(task)) {
            step.done = step.done.saturating_add(1);
        }
    }

    /// Returns how many runs of a task were stopped as stalled.
    pub fn stalls(&self, task: TaskId) -> u32 {
        self.tasks.get(&task).map_or(0, |record| record.stalls)
    }

    /// Returns whether a task failed a moment ago, so that it is not started on the same worker.
    pub fn is_fresh(&self, now_ms: u64, task: TaskId) -> bool {
        let record = self.tasks.get(&task);
        record.is_some_and(|record| now_ms < record.changed_ms + AVOID_MS)
    }

    /// Returns whether a task may be started now.
    pub fn may_start(&self, now_ms: u64, task: TaskId) -> bool {
        let record = self.tasks.get(&task);
        record.is_none_or(|record| now_ms >= record.restart_ms)
    }

    /// Forgets old failed starts and the jobs for which `keep` returns false.
    pub fn retain(&mut self, now_ms: u64, keep: impl Fn(JobId) -> bool) {
        let is_old = |changed_ms: u64| now_ms >= changed_ms + FORGET_AFTER_MS;
        self.tasks.retain(|task, record| {
            keep(task.job) && (record.stalls > 0 || !is_old(record.changed_ms))
        });
        self.steps
            .retain(|step, record| keep(step.job) && !is_old(record.changed_ms));
    }

    fn record_step(
        &mut self,
        now_ms: u64,
        task: TaskId,
        worker: &InstanceName,
        outliving: usize,
    ) -> f64 {
        let step = self.steps.entry(step_of(task)).or_default();
        step.record(now_ms, worker, outliving)
    }
}

fn step_of(task: TaskId) -> TaskId {
    TaskId { index: 0, ..task }
}

/// Returns the delay after so many failed starts in a row, before jitter shortens it.
fn longest_delay_ms(failed_starts: u32, restarts: Restarts) -> u64 {
    let (immediate, max_delay_ms) = match restarts {
        Restarts::Lasting => (LASTING_IMMEDIATE, LASTING_MAX_DELAY_MS),
        Restarts::Limited => (LIMITED_IMMEDIATE, LIMITED_MAX_DELAY_MS),
    };
    let Some(doublings) = failed_starts.checked_sub(immediate + 1) else {
        return 0;
    };
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    MIN_DELAY_MS.saturating_mul(factor).min(max_delay_ms)
}
