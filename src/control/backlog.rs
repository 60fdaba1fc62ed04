//! The steps of which tasks wait, by pool and in the order of their ranks.
//!
//! Answers a backlog of thousands of jobs. A pass that ranks all of them anew costs in
//! proportion to what waits, and what it costs makes more wait: the leader's one thread
//! comes late to workers' answers, takes them for lost and repeats its orders, workers
//! stand idle, and the backlog stays after the load that made it is gone. Here the order
//! is kept from pass to pass. A job is ranked anew when something of it changed, when time
//! alone brings it into another class, and otherwise a few jobs a pass in turn, as learnt
//! run times drift.

mod entry;
mod order;
mod row;

use std::collections::{BTreeMap, BTreeSet};

use super::{Estimates, Policy, Queue, Remaining, Sizes, State, ranking};
use crate::jobs::{Job, JobId, Occurrence};
use crate::model::PoolName;
pub(super) use entry::{Entry, Waits};
pub(super) use order::Order;
pub(super) use row::Row;

/// Jobs that a pass ranks anew though nothing is known to have changed: their run times
/// are learnt meanwhile, and a change that was missed must not keep a job waiting for
/// good.
const TURN_JOBS: usize = 24;

/// What the ranks are worked out from.
#[derive(Clone, Copy, Debug)]
pub(super) struct BacklogWorld<'a> {
    pub(super) state: &'a State,
    pub(super) estimates: &'a Estimates,
    pub(super) policy: &'a Policy,
    pub(super) sizes: &'a Sizes,
}

/// The steps that wait.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    pools: BTreeMap<PoolName, Row>,
    jobs: BTreeMap<JobId, Ranked>,
    /// When the class of a job changes by time alone.
    turning: BTreeSet<(u64, JobId)>,
    touched: BTreeSet<JobId>,
    /// The job that was ranked last in turn.
    turn: Option<JobId>,
}

/// A job's entries.
#[derive(Debug)]
struct Ranked {
    pool: PoolName,
    large: bool,
    entries: Vec<(Entry, Waits)>,
    turns_unix_ms: Option<u64>,
}

impl Backlog {
    /// Something of a job changed.
    pub(super) fn touch(&mut self, job: JobId) {
        self.touched.insert(job);
    }

    /// Brings the order up to date; returns the jobs that were looked at.
    pub(super) fn refresh(&mut self, now_unix_ms: u64, world: &BacklogWorld) -> BTreeSet<JobId> {
        let mut due = std::mem::take(&mut self.touched);
        while let Some((at_unix_ms, job)) = self.turning.first().copied()
            && at_unix_ms <= now_unix_ms
        {
            self.turning.pop_first();
            due.insert(job);
        }
        let turn: Vec<JobId> = world.state.active_after(self.turn, TURN_JOBS).collect();
        self.turn = turn.last().copied().filter(|_| turn.len() == TURN_JOBS);
        due.extend(turn);
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

    /// The pools in which something waits.
    pub(super) fn pools(&self) -> impl Iterator<Item = (&PoolName, &Row)> {
        self.pools.iter().filter(|(_, row)| !row.is_empty())
    }

    /// Whether anything waits in a pool.
    pub(super) fn waits_in(&self, pool: &PoolName) -> bool {
        self.pools.get(pool).is_some_and(|row| !row.is_empty())
    }

    /// Notes behind which entries, of small and of large jobs, the next look at a pool's
    /// rest begins.
    pub(super) fn resume_behind(&mut self, pool: &PoolName, reached: [Option<Entry>; 2]) {
        if let Some(row) = self.pools.get_mut(pool) {
            row.resume = reached;
        }
    }

    fn remove(&mut self, id: JobId) {
        let Some(ranked) = self.jobs.remove(&id) else {
            return;
        };
        if let Some(at_unix_ms) = ranked.turns_unix_ms {
            self.turning.remove(&(at_unix_ms, id));
        }
        if let Some(row) = self.pools.get_mut(&ranked.pool) {
            for (entry, waits) in &ranked.entries {
                row.remove(ranked.large, entry, waits);
            }
        }
    }

    fn insert(&mut self, now_unix_ms: u64, job: &Job, queue: Option<&Queue>, world: &BacklogWorld) {
        let (entries, turns_unix_ms) = entries(now_unix_ms, job, queue, world);
        if entries.is_empty() {
            return;
        }
        let large = world.sizes.is_large(job.id);
        if !self.pools.contains_key(&job.pool) {
            self.pools.insert(job.pool.clone(), Row::default());
        }
        if let Some(row) = self.pools.get_mut(&job.pool) {
            for (entry, waits) in &entries {
                row.insert(large, *entry, *waits);
            }
        }
        if let Some(at_unix_ms) = turns_unix_ms {
            self.turning.insert((at_unix_ms, job.id));
        }
        let ranked = Ranked {
            pool: job.pool.clone(),
            large,
            entries,
            turns_unix_ms,
        };
        self.jobs.insert(job.id, ranked);
    }
}

/// The steps of a job of which tasks wait and may start, and when the class of one of
/// them changes by time alone.
fn entries(
    now_unix_ms: u64,
    job: &Job,
    queue: Option<&Queue>,
    world: &BacklogWorld,
) -> (Vec<(Entry, Waits)>, Option<u64>) {
    let mut entries = Vec::new();
    let mut turns_unix_ms: Option<u64> = None;
    let mut times = None;
    for (occurrence, tasks) in job.occurrences() {
        for (step, spec) in job.spec.steps.iter().enumerate() {
            let waiting = tasks.step(step).iter().filter(|t| t.is_waiting()).count();
            if waiting == 0 || !tasks.may_start(&job.spec, step) {
                continue;
            }
            let (takes_ms, chains_ms) = times.get_or_insert_with(|| {
                let takes_ms = world.estimates.run_times_ms(job);
                let chains_ms = job.spec.chains_ms(&takes_ms);
                (takes_ms, chains_ms)
            });
            let remaining = Remaining {
                chain_ms: chains_ms.iter().copied().max().unwrap_or(0),
                left_ms: chains_ms[step],
                work: work_left(job, tasks, takes_ms),
            };
            let due_unix_ms = job.due_unix_ms(occurrence);
            let order = &world.policy.order;
            let (rank, turns) =
                ranking::standing(now_unix_ms, job, queue, due_unix_ms, &remaining, order);
            turns_unix_ms = turns_unix_ms.into_iter().chain(turns).min();
            let entry = Entry {
                rank,
                job: job.id,
                occurrence,
                step: step as u16,
            };
            let waits = Waits {
                room: spec.reserved(),
                cpu_milli: waiting as u64 * u64::from(spec.demand.cpu_milli),
            };
            entries.push((entry, waits));
        }
    }
    (entries, turns_unix_ms)
}

/// The core-milliseconds that an occurrence still needs.
fn work_left(job: &Job, occurrence: &Occurrence, takes_ms: &[u64]) -> f64 {
    let steps = job.spec.steps.iter().enumerate();
    steps
        .map(|(step, spec)| {
            let left = occurrence.step(step).iter().filter(|t| !t.done).count();
            left as f64 * spec.demand.cores() * takes_ms[step] as f64
        })
        .sum()
}
