use serde::{Deserialize, Serialize};

use crate::model::PoolName;

/// A queue: the address at which callers submit jobs, and the pool that runs them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: String,
    /// Host name at which callers reach the queue.
    pub host: String,
    /// Prefix of the request paths that belong to the queue.
    pub path_prefix: String,
    /// The pool that runs its jobs.
    pub pool: PoolName,
    /// Priority of its jobs; 0 is the highest.
    pub priority: u32,
    /// Number of failures of a task after which its job fails.
    pub attempts_max: u32,
    /// Multiple of its longest chain of run times that a job may take to be on time.
    pub slack_factor: f64,
    /// Time that a job may take on top of that.
    pub target_latency_ms: u64,
    /// Timeout of a call.
    pub timeout_ms: u64,
    /// Set if an advisor must allow the placements of the queue's tasks.
    pub advice: Option<Advice>,
}

/// Multiple of its objective up to which a job is still of use to its caller.
const LATE_FACTOR: f64 = 3.0;

impl Queue {
    /// Returns how long a job with this longest chain of run times may take to be on time.
    pub fn objective_ms(&self, chain_ms: u64) -> f64 {
        self.slack_factor * chain_ms as f64 + self.target_latency_ms as f64
    }

    /// Returns the time after which the result of such a job is of no use to its caller.
    pub fn useless_after_ms(&self, chain_ms: u64) -> f64 {
        self.objective_ms(chain_ms) * LATE_FACTOR
    }
}

/// Response times of the advisor that must allow a queue's placements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// Time that an answer takes.
    pub decision_ms: u64,
    /// Additional time for each worker in the request.
    pub per_worker_ms: u64,
    /// Validity of a ticket.
    pub validity_ms: u64,
}
