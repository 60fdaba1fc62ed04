//! What is remembered of past load, the same on every control instance.
//!
//! Answers a change of leader in the middle of a busy minute. What a leader learnt alone
//! went with it: the next one took estimates at their word, saw no turn coming and let
//! the first pools of the next round run late beside machines that were off. The log
//! tells every instance of each job and each end anyway, so each keeps the sums.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Arrivals, Configuration, Estimates, JobSize, Load};
use crate::jobs::{Job, JobId};

/// Sums over past jobs and runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    estimates: Estimates,
    /// By queue.
    arrivals: BTreeMap<String, Arrivals>,
}

impl History {
    /// A job that runs once was accepted.
    pub fn arrived(&mut self, at_unix_ms: u64, job: &Job) {
        let estimated_ms: Vec<u64> = job.spec.steps.iter().map(|s| s.estimate_ms).collect();
        let chain_ms = job.spec.chains_ms(&estimated_ms).into_iter().max();
        let steps = job.spec.steps.iter();
        let work = steps.fold(Load::default(), |work, step| {
            let held_ms = f64::from(step.tasks) * step.estimate_ms as f64;
            work.plus(&Load::from(&step.reserved()).times(held_ms))
        });
        let size = JobSize {
            work,
            chain_ms: chain_ms.unwrap_or(0) as f64,
        };
        let arrivals = self.arrivals.entry(job.queue.clone()).or_default();
        arrivals.add(at_unix_ms, size);
    }

    /// A task of a step took so long, from its placement to its end.
    pub fn ended(&mut self, job: &Job, step: usize, took_ms: u64) {
        self.estimates.record_run(job, step, took_ms);
    }

    /// How long tasks really take.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// The jobs that came, by queue.
    pub fn arrivals(&self) -> &BTreeMap<String, Arrivals> {
        &self.arrivals
    }

    /// Forgets jobs that are over, and queues that are no more.
    pub fn retain(&mut self, job: impl Fn(JobId) -> bool, configuration: Option<&Configuration>) {
        self.estimates.retain(job);
        if let Some(configuration) = configuration {
            let queues = configuration.queues_by_name();
            self.arrivals
                .retain(|queue, _| queues.contains_key(queue.as_str()));
            self.estimates
                .retain_queues(|queue| queues.contains_key(queue));
        }
    }
}
