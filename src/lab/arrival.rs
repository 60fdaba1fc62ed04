use std::sync::Arc;

use super::TaskTruth;
use crate::jobs::JobSpec;

/// A job that a caller hands in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When, after the first job could come.
    pub at_ms: u64,
    /// The place of its queue in the workload.
    pub queue: usize,
    /// The job with its estimates.
    pub spec: Arc<JobSpec>,
    /// How each task truly behaves, by step.
    pub truths: Vec<Vec<TaskTruth>>,
}

impl Arrival {
    /// The core-milliseconds that its tasks truly take.
    pub fn work(&self) -> f64 {
        let steps = self.spec.steps.iter().zip(&self.truths);
        steps
            .map(|(step, tasks)| {
                let run_ms: u64 = tasks.iter().map(|task| task.run_ms).sum();
                step.demand.cores() * run_ms as f64
            })
            .sum()
    }

    /// The time that it truly takes at least: that of the longest task of each step.
    pub fn chain_ms(&self) -> u64 {
        let longest = |tasks: &Vec<TaskTruth>| tasks.iter().map(|t| t.run_ms).max();
        self.truths.iter().filter_map(longest).sum()
    }
}
