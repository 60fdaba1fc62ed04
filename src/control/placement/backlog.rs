//! The steps with waiting tasks, by pool and ordered by rank.
//!
//! The backlog may hold thousands of jobs. Ranking all of them in every pass takes time in
//! proportion to the backlog, and that time makes the backlog grow: the leader's only
//! thread reads the workers' answers late, counts them as lost and repeats its orders,
//! workers idle, and the backlog remains after the load that caused it has gone. Therefore
//! the order is kept between passes. A job is ranked again when it has changed or when the
//! passing of time moves it to another class; in addition, every pass ranks a few jobs in
//! rotation, because learned run times drift.

mod entry;
mod lanes;
mod pool_backlog;
mod ranked_steps;

use std::collections::{BTreeMap, BTreeSet};

use super::ranking;
use crate::control::{Estimates, Policy, Queue, Remaining, Sizes, State, WorkspaceShares};
use crate::jobs::{Job, JobId, Occurrence};
use crate::model::{PoolName, WorkspaceName};
pub(super) use entry::{Entry, StepDemand};
use lanes::{Lanes, RankedLanes};
pub(super) use pool_backlog::PoolBacklog;
pub(super) use ranked_steps::RankedSteps;

/// Number of unchanged jobs that each pass ranks again in rotation: their learned run
/// times drift, and a change that was missed must not keep a job waiting for ever.
const REFRESHED_JOBS_PER_PASS: usize = 24;

/// The input from which ranks are computed.
#[derive(Clone, Copy, Debug)]
pub(super) struct BacklogWorld<'a> {
    pub(super) state: &'a State,
    pub(super) estimates: &'a Estimates,
    pub(super) policy: &'a Policy,
    pub(super) sizes: &'a Sizes,
    pub(super) shares: &'a WorkspaceShares,
}

/// The waiting steps of all pools.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    pools: BTreeMap<PoolName, PoolBacklog>,
    jobs: BTreeMap<JobId, RankedJob>,
    /// Times in milliseconds since 1970 at which jobs change their class by time alone.
    class_changes: BTreeSet<(u64, JobId)>,
    touched: BTreeSet<JobId>,
    /// The job that was last ranked in rotation.
    last_refreshed: Option<JobId>,
}

/// The backlog entries of a job.
#[derive(Debug)]
struct RankedJob {
    pool: PoolName,
    workspace: Option<WorkspaceName>,
    large: bool,
    entries: Vec<(Entry, StepDemand)>,
    class_change_unix_ms: Option<u64>,
}

impl Backlog {
    /// Marks a job as changed.
    pub(super) fn touch(&mut self, job: JobId) {
        self.touched.insert(job);
    }

    /// Brings the order up to date; returns the jobs that were visited.
    pub(super) fn refresh(&mut self, now_unix_ms: u64, world: &BacklogWorld) -> BTreeSet<JobId> {
        let mut due = std::mem::take(&mut self.touched);
        while let Some((at_unix_ms, job)) = self.class_changes.first().copied()
            && at_unix_ms <= now_unix_ms
        {
            self.class_changes.pop_first();
            due.insert(job);
        }
        let next_jobs: Vec<JobId> = world
            .state
            .active_after(self.last_refreshed, REFRESHED_JOBS_PER_PASS)
            .collect();
        self.last_refreshed = next_jobs
            .last()
            .copied()
            .filter(|_| next_jobs.len() == REFRESHED_JOBS_PER_PASS);
        due.extend(next_jobs);
        let queues = world.state.queues_by_name();
        for id in &due {
            self.remove(*id);
            let job = world.state.job(*id).filter(|job| job.verdict.is_none());
            if let Some(job) = job {
                let queue = queues.get(job.queue.as_str()).copied();
                self.insert(now_unix_ms, job, queue, world);
            }
        }
        due
    }

    /// Returns the pools with waiting steps.
    pub(super) fn pools(&self) -> impl Iterator<Item = (&PoolName, &PoolBacklog)> {
        self.pools.iter().filter(|(_, backlog)| !backlog.is_empty())
    }

    /// Returns whether no step waits in any pool.
    pub(super) fn is_empty(&self) -> bool {
        self.pools.values().all(PoolBacklog::is_empty)
    }

    /// Returns whether any step waits in a pool.
    pub(super) fn has_waiting(&self, pool: &PoolName) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|backlog| !backlog.is_empty())
    }

    /// Records the entries of small and of large jobs after which the next pass resumes in
    /// a pool.
    pub(super) fn resume_after(&mut self, pool: &PoolName, reached: [Option<Entry>; 2]) {
        if let Some(backlog) = self.pools.get_mut(pool) {
            backlog.resume = reached;
        }
    }

    fn remove(&mut self, id: JobId) {
        let Some(ranked) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(at_unix_ms) = ranked.class_change_unix_ms {
            self.class_changes.remove(&(at_unix_ms, id));
        }
        if let Some(backlog) = self.pools.get_mut(&ranked.pool) {
            for (entry, demand) in &ranked.entries {
                backlog.remove(ranked.large, ranked.workspace.as_ref(), entry, demand);
            }
        }
    }

    fn insert(&mut self, now_unix_ms: u64, job: &Job, queue: Option<&Queue>, world: &BacklogWorld) {
        let (entries, class_change_unix_ms) = entries(now_unix_ms, job, queue, world);
        if entries.is_empty() {
            return;
        }
        let large = world.sizes.is_large(job.id);
        if !self.pools.contains_key(&job.pool) {
            self.pools.insert(job.pool.clone(), PoolBacklog::default());
        }
        if let Some(backlog) = self.pools.get_mut(&job.pool) {
            for (entry, demand) in &entries {
                backlog.insert(large, job.workspace.as_ref(), *entry, *demand);
            }
        }
        if let Some(at_unix_ms) = class_change_unix_ms {
            self.class_changes.insert((at_unix_ms, job.id));
        }
        let ranked = RankedJob {
            pool: job.pool.clone(),
            workspace: job.workspace.clone(),
            large,
            entries,
            class_change_unix_ms,
        };
        self.jobs.insert(job.id, ranked);
    }
}

/// Returns the steps of a job with waiting tasks that may start, and the earliest time at
/// which one of them changes its class by time alone.
fn entries(
    now_unix_ms: u64,
    job: &Job,
    queue: Option<&Queue>,
    world: &BacklogWorld,
) -> (Vec<(Entry, StepDemand)>, Option<u64>) {
    let mut entries = Vec::new();
    let mut class_change_unix_ms: Option<u64> = None;
    // What holds for the whole job is found out once: a job may have thousands of steps.
    let mut times = None;
    let lasts = job.spec.lasts();
    for (occurrence, tasks) in job.occurrences() {
        let mut work = None;
        for (step, spec) in job.spec.steps.iter().enumerate() {
            let waiting = tasks.step(step).iter().filter(|t| t.is_waiting()).count();
            if waiting == 0 || !tasks.may_start(&job.spec, step) {
                continue;
            }
            let (takes_ms, chains_ms, chain_ms) = times.get_or_insert_with(|| {
                let takes_ms = world.estimates.run_times_ms(job);
                let chains_ms = job.spec.critical_paths_ms(&takes_ms);
                let chain_ms = chains_ms.iter().copied().max().unwrap_or(0);
                (takes_ms, chains_ms, chain_ms)
            });
            let remaining = Remaining {
                chain_ms: *chain_ms,
                left_ms: chains_ms[step],
                work: *work.get_or_insert_with(|| work_left(job, tasks, takes_ms)),
                lasts,
                beyond_share: world.shares.is_beyond(job.id),
            };
            let due_unix_ms = job.due_unix_ms(occurrence);
            let order = &world.policy.order;
            let (rank, changes) =
                ranking::rank_job(now_unix_ms, job, queue, due_unix_ms, &remaining, order);
            class_change_unix_ms = class_change_unix_ms.into_iter().chain(changes).min();
            let entry = Entry {
                rank,
                job: job.id,
                occurrence,
                step: step as u16,
            };
            let demand = StepDemand {
                room: spec.reserved(),
                cpu_milli: waiting as u64 * u64::from(spec.demand.cpu_milli),
            };
            entries.push((entry, demand));
        }
    }
    (entries, class_change_unix_ms)
}

/// Returns the core-milliseconds that an occurrence still needs.
fn work_left(job: &Job, occurrence: &Occurrence, takes_ms: &[u64]) -> f64 {
    let steps = job.spec.steps.iter().enumerate();
    steps
        .map(|(step, spec)| {
            let left = occurrence.step(step).iter().filter(|t| !t.done).count();
            left as f64 * spec.demand.cores() * takes_ms[step] as f64
        })
        .sum()
}
