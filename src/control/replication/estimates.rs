//! Corrections of callers' run time estimates, learned from the tasks that have ended.
//!
//! Estimates are off by a multiple that differs from job to job. Taken as they are, a job
//! that is believed to be short holds up others, and a stalled worker looks like a long
//! task. Each queue has two factors: one for the usual run time of a single job, and one
//! for the work of all its jobs together. The two differ by a multiple when errors spread
//! widely: if estimates are half of the run time as often as double, the mean of the
//! ratios is far above one, and the sum of the estimates is above the sum of the run
//! times. The product of that mean and that sum called for twice the machines that were
//! needed. A step with tasks that have ended has a factor of its own.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::jobs::{Job, JobId};

/// Weight of a step in its queue's factor for single jobs, which averages over some five steps.
const QUEUE_WEIGHT: f64 = 0.2;
/// Weight of a step in the sums of its queue, which cover some fifty steps.
const SUM_WEIGHT: f64 = 0.02;
/// Weight of a new run in its step's factor. Tasks of one step are alike, so a few runs
/// suffice.
const STEP_WEIGHT: f64 = 0.4;
/// Range to which a measured factor is clamped; outside of it the measurement is wrong.
const FACTOR_RANGE: (f64, f64) = (0.05, 20.0);
/// Number of steps with exact estimates that a queue is assumed to have had before the
/// first one.
const PRIOR_STEPS: f64 = 2.0;

/// Learned factors by which callers' estimates are corrected.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimates {
    queues: BTreeMap<String, QueueFactors>,
    /// Factors by job and step.
    steps: BTreeMap<(JobId, usize), f64>,
}

/// The learned factors of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct QueueFactors {
    /// Moving average of the logarithm of run time divided by estimate.
    log: f64,
    /// Core-milliseconds that ended tasks took, with older tasks weighted less.
    took: f64,
    /// Core-milliseconds that the same tasks were estimated to take.
    estimated: f64,
}

impl Estimates {
    /// Returns the factor for the sum of the estimates of a queue's jobs.
    pub fn work_factor(&self, queue: &str) -> f64 {
        let factors = self.queues.get(queue).filter(|l| l.estimated > 0.0);
        factors.map_or(1.0, |factors| factors.took / factors.estimated)
    }

    /// Returns the factor for the estimate of a single job of a queue.
    pub fn factor(&self, queue: &str) -> f64 {
        self.queues
            .get(queue)
            .map_or(1.0, |factors| factors.log.exp())
    }

    /// Returns the expected run time of a task of each step of a job, in milliseconds.
    pub fn run_times_ms(&self, job: &Job) -> Vec<u64> {
        let usual = self.factor(&job.queue);
        let steps = job.spec.steps.iter().enumerate();
        steps
            .map(|(step, spec)| {
                let factor = self.steps.get(&(job.id, step)).copied().unwrap_or(usual);
                (spec.estimate_ms as f64 * factor) as u64
            })
            .collect()
    }

    /// Records that a task of a step took `actual_ms`.
    pub fn record_run(&mut self, job: &Job, step: usize, actual_ms: u64) {
        let spec = &job.spec.steps[step];
        let Some(factor) = clamped_ratio(spec.estimate_ms, actual_ms) else {
            return;
        };
        let cores = spec.demand.cores();
        let tasks = f64::from(spec.tasks.max(1));
        let estimated = spec.estimate_ms as f64 * cores;
        let queue = self.queues.entry(job.queue.clone());
        let factors = queue.or_insert_with(|| QueueFactors {
            log: 0.0,
            took: estimated * tasks * PRIOR_STEPS,
            estimated: estimated * tasks * PRIOR_STEPS,
        });
        // The tasks of a step share its estimate, so together they tell as much as one. If
        // each counted as much, the averages of a queue of wide steps would cover two or
        // three jobs, and the machines that it seems to need would change severalfold.
        factors.log += QUEUE_WEIGHT / tasks * (factor.ln() - factors.log);
        let kept = 1.0 - SUM_WEIGHT / tasks;
        factors.took = factors.took * kept + factor * estimated;
        factors.estimated = factors.estimated * kept + estimated;
        let step_factor = self.steps.entry((job.id, step)).or_insert(factor);
        *step_factor += STEP_WEIGHT * (factor - *step_factor);
    }

    /// Forgets the queues for which `keep` returns false.
    pub fn retain_queues(&mut self, keep: impl Fn(&str) -> bool) {
        self.queues.retain(|queue, _| keep(queue));
    }

    /// Forgets the jobs for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(JobId) -> bool) {
        self.steps.retain(|(job, _), _| keep(*job));
    }
}

/// Returns the run time divided by the estimate, if both are positive.
fn clamped_ratio(estimate_ms: u64, actual_ms: u64) -> Option<f64> {
    let ratio = actual_ms as f64 / estimate_ms as f64;
    (estimate_ms > 0 && actual_ms > 0).then(|| ratio.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1))
}
