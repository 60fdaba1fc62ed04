//! How much each pool has to do, in cores and machines.

use std::collections::BTreeMap;

use super::{Estimates, Fleet, Queue, State};
use crate::jobs::{Job, TaskId};
use crate::model::{InstanceName, PoolName};

/// A job's work is wanted within the time that its chain of steps takes, as it cannot
/// be done sooner, but not within less than this: a move of a machine takes longer.
const SHORTEST_MS: u64 = 1_000;
/// Work that nobody waits for any more is wanted within this time: it fills what the
/// rest leaves.
const HOPELESS_MS: f64 = 10_000.0;

/// What a pool has and needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolDemand {
    /// Cores that get the work at hand done in time, without lasting tasks.
    pub work_cores: f64,
    /// Cores that lasting tasks hold.
    pub lasting_cores: f64,
    /// Workers that the spread of a lasting step asks for at most.
    pub spread: usize,
    /// Workers that can be used.
    pub workers: Vec<WorkerUse>,
    /// Cores of those workers.
    pub cores: f64,
}

/// How a worker is used.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerUse {
    /// Its incarnation.
    pub worker: InstanceName,
    /// Its machine.
    pub machine: Option<String>,
    /// Runs of lasting tasks.
    pub lasting: usize,
    /// Other runs.
    pub passing: usize,
}

impl PoolDemand {
    /// The cores that are needed to get through the work in time, with `foreseen` cores
    /// of work that is about to come.
    pub fn needed_cores(&self, foreseen: f64) -> f64 {
        self.lasting_cores + self.work_cores.max(foreseen)
    }

    /// The machines that are needed, of the size that it has.
    pub fn needed_machines(&self, cores_per_machine: f64, foreseen: f64) -> usize {
        let machines = self.needed_cores(foreseen) / cores_per_machine.max(1.0);
        (machines.ceil() as usize).max(self.spread)
    }
}

/// The demand of all pools.
pub fn demand(
    now_ms: u64,
    now_unix_ms: u64,
    state: &State,
    fleet: &Fleet,
    estimates: &Estimates,
) -> BTreeMap<PoolName, PoolDemand> {
    let mut pools: BTreeMap<PoolName, PoolDemand> = BTreeMap::new();
    let queues = state.queues_by_name();
    for job in state.active().filter(|job| job.verdict.is_none()) {
        let pool = pools.entry(job.pool.clone()).or_default();
        let queue = queues.get(job.queue.as_str()).copied();
        add_work(now_unix_ms, job, queue, &estimates.run_times_ms(job), pool);
    }
    for (name, worker, link) in fleet.linked(state) {
        if !link.is_heard(now_ms) || !worker.takes_work() {
            continue;
        }
        let is_lasting = |task: &TaskId| {
            let job = state.job(task.job);
            job.is_some_and(|job| job.spec.steps[usize::from(task.step)].lasting)
        };
        let runs = link.runs.keys();
        let lasting = runs.filter(|(task, _)| is_lasting(task)).count();
        let pool = pools.entry(worker.report.pool.clone()).or_default();
        pool.cores += worker.report.capacity.cores();
        pool.workers.push(WorkerUse {
            worker: name.clone(),
            machine: worker.report.machine.clone(),
            lasting,
            passing: link.runs.len() - lasting,
        });
    }
    pools
}

fn add_work(
    now_unix_ms: u64,
    job: &Job,
    queue: Option<&Queue>,
    takes_ms: &[u64],
    pool: &mut PoolDemand,
) {
    let chains_ms = job.spec.chains_ms(takes_ms);
    let chain_ms = chains_ms.iter().copied().max().unwrap_or(0);
    for (k, occurrence) in job.occurrences() {
        let mut work = 0.0;
        let mut left_ms = SHORTEST_MS;
        for (step, spec) in job.spec.steps.iter().enumerate() {
            let cores = spec.demand.cores();
            for task in occurrence.step(step).iter().filter(|t| !t.done) {
                if spec.lasting {
                    let most = spec.per_worker_max.unwrap_or(u16::MAX).max(1);
                    pool.spread = pool.spread.max(usize::from(spec.tasks.div_ceil(most)));
                    pool.lasting_cores += if spec.best_effort { 0.0 } else { cores };
                    continue;
                }
                left_ms = left_ms.max(chains_ms[step]);
                // On average a run that goes on has half of its time left.
                let part = if task.runs.is_empty() { 1.0 } else { 0.5 };
                work += cores * takes_ms[step] as f64 * part;
            }
        }
        let due_unix_ms = job.due_unix_ms(k);
        let passed_ms = now_unix_ms.saturating_sub(due_unix_ms) as f64;
        let late_ms = queue.map_or(f64::INFINITY, |q| q.worthless_ms(chain_ms));
        let within_ms = if passed_ms > late_ms {
            HOPELESS_MS
        } else {
            left_ms as f64
        };
        pool.work_cores += work / within_ms;
    }
}
