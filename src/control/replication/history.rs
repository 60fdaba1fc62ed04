//! Replicated statistics of past load, the same on every control instance.
//!
//! If only the leader kept these statistics, a change of leader under load would lose them:
//! the next leader used uncorrected estimates, forecast no turn, and jobs of the next pools
//! ran late while machines were off. The log carries every accepted job and every end of a
//! run to all instances anyway, so each of them keeps the statistics.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::control::{Arrivals, Configuration, Estimates, JobSize, Load};
use crate::jobs::{Job, JobId};

/// Statistics of past jobs and runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    estimates: Estimates,
    /// Arrivals by queue name.
    arrivals: BTreeMap<String, Arrivals>,
}

impl History {
    /// Records the acceptance of a job that is not recurring and has no lasting step.
    pub fn record_arrival(&mut self, at_unix_ms: u64, job: &Job) {
        let estimated_ms: Vec<u64> = job.spec.steps.iter().map(|s| s.estimate_ms).collect();
        let chain_ms = job.spec.critical_paths_ms(&estimated_ms).into_iter().max();
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

    /// Records how long a task of a step took, from its placement to its end.
    pub fn record_end(&mut self, job: &Job, step: usize, took_ms: u64) {
        self.estimates.record_run(job, step, took_ms);
    }

    /// Returns the run-time estimates, corrected by past runs.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Returns the arrivals by queue name.
    pub fn arrivals(&self) -> &BTreeMap<String, Arrivals> {
        &self.arrivals
    }

    /// Drops jobs for which `job` returns false, and queues that the configuration no longer
    /// has.
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
