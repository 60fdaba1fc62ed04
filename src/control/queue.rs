use serde::{Deserialize, Serialize};

use crate::model::PoolName;

/// A queue: where jobs are handed in and which pool runs them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host under which callers know it.
    pub host: String,
    /// The beginning of its paths.
    pub path_prefix: String,
    /// The pool that runs its jobs.
    pub pool: PoolName,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts_max: u32,
    /// How many times its longest chain a job may take.
    pub slack_factor: f64,
    /// What a job may take on top of that.
    pub target_latency_ms: u64,
    /// How long a call may take.
    pub timeout_ms: u64,
    /// Set if an advisor has to allow the placements.
    pub advice: Option<Advice>,
}

/// Up to so many times its objective a job is still worth something to its caller.
const LATE_FACTOR: f64 = 3.0;

impl Queue {
    /// How long a job with such a chain of run times may take to be on time.
    pub fn objective_ms(&self, chain_ms: u64) -> f64 {
        self.slack_factor * chain_ms as f64 + self.target_latency_ms as f64
    }

    /// How long a job with such a chain may take to be worth anything.
    pub fn worthless_ms(&self, chain_ms: u64) -> f64 {
        self.objective_ms(chain_ms) * LATE_FACTOR
    }
}

/// The pace of the advisor that has to allow a queue's placements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// How long an answer takes.
    pub decision_ms: u64,
    /// How much longer for each worker asked about.
    pub per_worker_ms: u64,
    /// How long a ticket holds.
    pub validity_ms: u64,
}
