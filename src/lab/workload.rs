//! What a play is made of: a fleet, its callers and what goes wrong.

mod check;
mod demand;
mod faults;
mod fleet;
mod queue;

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::WorkloadFault;
use crate::control::{Configuration, Queue};

pub use demand::{Demand, TurnPace};
pub use faults::{FaultsSpec, LeaderLoss, RackLoss, WaveSpec};
pub use fleet::{FleetSpec, PoolSpec, StandbySpec};
pub use queue::{QueueSpec, StepSpec};

/// The host under which the callers of a play know all queues.
pub(super) const HOST: &str = "lab.example";

/// A fleet, its callers and what goes wrong, as read from a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// How long callers hand in jobs.
    pub play_s: u64,
    /// The machines.
    pub fleet: FleetSpec,
    /// Where jobs are handed in.
    pub queues: Vec<QueueSpec>,
    /// How demand goes up and down.
    pub demand: Demand,
    /// What goes wrong; nothing by default.
    #[serde(default)]
    pub faults: FaultsSpec,
}

impl Workload {
    /// Reads the workload in a file.
    ///
    /// # Errors
    /// Everything that is wrong, with a remedy.
    pub fn load(path: &Path) -> Result<Self, Vec<WorkloadFault>> {
        let text = std::fs::read_to_string(path).map_err(|err| {
            vec![WorkloadFault::NoFile {
                path: path.display().to_string(),
                cause: err.to_string(),
            }]
        })?;
        Self::parse(&text)
    }

    /// Reads a workload.
    ///
    /// # Errors
    /// Everything that is wrong, with a remedy.
    pub fn parse(text: &str) -> Result<Self, Vec<WorkloadFault>> {
        let workload: Self = serde_json::from_str(text).map_err(|err| {
            vec![WorkloadFault::Unreadable {
                cause: err.to_string(),
            }]
        })?;
        let faults = workload.faults();
        if faults.is_empty() {
            Ok(workload)
        } else {
            Err(faults)
        }
    }

    /// How long callers hand in jobs.
    pub fn play_ms(&self) -> u64 {
        self.play_s * 1_000
    }

    /// The longest time after which a job is still worth something, so that what is not
    /// over by then never will be.
    pub fn rest_ms(&self) -> u64 {
        let queues = self.queues.iter().zip(self.configuration().queues);
        let rests = queues.map(|(spec, queue)| queue.useless_after_ms(spec.longest_ms()));
        rests.fold(0.0, f64::max) as u64
    }

    /// Jobs a second of all queues together.
    pub fn jobs_per_s(&self) -> f64 {
        self.queues.iter().map(|q| q.jobs_per_s).sum()
    }

    /// The configuration that is in force.
    pub fn configuration(&self) -> Configuration {
        let mut pools: BTreeMap<_, _> = self
            .fleet
            .pools
            .iter()
            .map(|pool| (pool.name.as_str().into(), false))
            .collect();
        if let Some(standby) = &self.fleet.standby {
            pools.insert(standby.name.as_str().into(), true);
        }
        Configuration {
            version: 1,
            queues: self.queues.iter().map(Self::queue).collect(),
            pools,
            document: Default::default(),
            access: None,
        }
    }

    fn queue(spec: &QueueSpec) -> Queue {
        Queue {
            name: spec.name.clone(),
            host: HOST.into(),
            path_prefix: format!("/{}/", spec.name),
            pool: spec.pool.as_str().into(),
            priority: spec.priority,
            attempts_max: spec.attempts_max,
            slack_factor: spec.slack_factor,
            target_latency_ms: spec.target_latency_ms,
            timeout_ms: CALL_TIMEOUT_MS,
            advice: None,
        }
    }
}

/// How long a call of a caller may take.
const CALL_TIMEOUT_MS: u64 = 3_000;
