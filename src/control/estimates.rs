//! How long tasks really take.
//!
//! Answers estimates that are off by a multiple: with them alone a job that is thought
//! to be short holds up others, and a worker that stands still looks like a long task.
//! Each queue has a factor learnt from its tasks' ends; a step some of whose tasks have
//! ended has its own.

use std::collections::BTreeMap;

use crate::jobs::{Job, JobId};

/// Weight of a new end in its queue's factor: some twenty ends are remembered.
const QUEUE_WEIGHT: f64 = 0.05;
/// Weight of a new end in its step's factor: tasks of a step are alike, so a few
/// suffice.
const STEP_WEIGHT: f64 = 0.4;
/// A factor outside of this is an error of measurement.
const RANGE: (f64, f64) = (0.05, 20.0);

/// Learnt factors of the callers' estimates.
#[derive(Debug, Default)]
pub struct Estimates {
    queues: BTreeMap<String, f64>,
    /// By job and step.
    steps: BTreeMap<(JobId, usize), f64>,
}

impl Estimates {
    /// How long a task of each step of a job takes, in milliseconds.
    pub fn run_times_ms(&self, job: &Job) -> Vec<u64> {
        let usual = self.queues.get(&job.queue).copied().unwrap_or(1.0);
        let steps = job.spec.steps.iter().enumerate();
        steps
            .map(|(step, spec)| {
                let factor = self.steps.get(&(job.id, step)).copied().unwrap_or(usual);
                (spec.estimate_ms as f64 * factor) as u64
            })
            .collect()
    }

    /// A task of a step took `actual_ms`.
    pub fn ended(&mut self, job: &Job, step: usize, actual_ms: u64) {
        let estimate_ms = job.spec.steps[step].estimate_ms;
        let Some(factor) = ratio(estimate_ms, actual_ms) else {
            return;
        };
        let queue = self.queues.entry(job.queue.clone()).or_insert(1.0);
        *queue += QUEUE_WEIGHT * (factor - *queue);
        let own = self.steps.entry((job.id, step)).or_insert(factor);
        *own += STEP_WEIGHT * (factor - *own);
    }

    /// Forgets jobs that are over.
    pub fn retain(&mut self, keep: impl Fn(JobId) -> bool) {
        self.steps.retain(|(job, _), _| keep(*job));
    }
}

fn ratio(estimate_ms: u64, actual_ms: u64) -> Option<f64> {
    let ratio = actual_ms as f64 / estimate_ms as f64;
    (estimate_ms > 0 && actual_ms > 0).then(|| ratio.clamp(RANGE.0, RANGE.1))
}
