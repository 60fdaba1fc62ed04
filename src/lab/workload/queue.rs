use serde::{Deserialize, Serialize};

use super::super::Spread;

/// A queue with the jobs that its callers hand in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSpec {
    /// Its name.
    pub name: String,
    /// The pool that runs its jobs.
    pub pool: String,
    /// Jobs a second, in the mean where demand is steady.
    pub jobs_per_s: f64,
    /// The steps of a job, each after the one before.
    pub steps: Vec<StepSpec>,
    /// A job's estimates are so many times what its steps take in the mean.
    #[serde(default)]
    pub estimate_factor: Spread,
    /// A task's run takes so many times what its step takes in the mean.
    #[serde(default)]
    pub run_factor: Spread,
    /// The part of all runs that fail.
    #[serde(default)]
    pub failing_part: f64,
    /// How many times its longest chain a job may take to be on time.
    pub slack_factor: f64,
    /// What it may take on top of that.
    pub target_latency_ms: u64,
    /// How often a task may fail.
    pub attempts_max: u32,
    /// 0 comes first.
    #[serde(default)]
    pub priority: u32,
}

/// A step of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepSpec {
    /// How many tasks.
    pub tasks: u16,
    /// Thousandths of a core of each.
    pub cpu_milli: u32,
    /// Memory of each.
    pub memory_mb: u32,
    /// How long a run takes in the mean.
    pub run_ms: u64,
}

impl QueueSpec {
    /// The longest time that a job's chain of steps may truly take.
    pub fn longest_ms(&self) -> u64 {
        let run_ms = self.steps.iter().map(|step| step.run_ms).sum::<u64>();
        (run_ms as f64 * self.run_factor.most).ceil() as u64
    }
}
