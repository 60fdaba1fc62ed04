//! Where tasks go: a pass over what waits and what is free.
//!
//! Answers mixed work on workers of limited room. A task goes only where it fits
//! beside everything that may still run there, stops included; lasting tasks are
//! spread, and those that serve users are kept apart from best-effort ones, which
//! slow them down by amounts that nobody declares.

use std::collections::{BTreeMap, BTreeSet};

use super::candidate::{Candidate, best_rack};
use super::step_place::StepPlace;
use super::{
    Estimates, Fleet, PlacementPolicy, Policy, Queue, Rank, Remaining, Shares, Sizes, State, rank,
};
use crate::jobs::{Job, Occurrence, Step, TaskId};
use crate::model::{InstanceName, PoolName};

/// A start that should be ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Of this task.
    pub task: TaskId,
    /// The number of the start.
    pub attempt: u32,
    /// Where.
    pub worker: InstanceName,
}

/// What the scheduler looks at.
#[derive(Clone, Copy, Debug)]
pub struct SchedulerWorld<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// The leader's links to workers.
    pub fleet: &'a Fleet,
    /// How long tasks take.
    pub estimates: &'a Estimates,
    /// The weights.
    pub policy: &'a Policy,
}

/// What the scheduler must know beside state and links.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Starts that are on their way into the log.
    pub(super) proposed: BTreeMap<TaskId, Placement>,
    /// Machines that are being emptied.
    pub(super) closed: BTreeSet<InstanceName>,
    /// Machines that are due for upkeep: lasting tasks had better not go there.
    pub(super) due: BTreeSet<InstanceName>,
    /// Tickets by step (job, occurrence, step, index 0) and worker.
    pub(super) tickets: BTreeMap<TaskId, BTreeMap<InstanceName, Ticket>>,
    /// Which jobs are large in their queues.
    pub(super) sizes: Sizes,
    /// Steps whose advice is missing, with the workers to ask about.
    pub(super) unadvised: BTreeMap<TaskId, Vec<InstanceName>>,
    /// What passes walked over: jobs, steps that wait, and each search for room.
    pub(super) looked: u64,
}

/// The advisor's word on a worker for a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ticket {
    /// None if the worker may not run the step.
    pub(super) text: Option<String>,
    /// Up to when it holds.
    pub(super) until_ms: u64,
}

/// A step of which tasks wait.
struct Waiting<'a> {
    rank: Rank,
    place: StepPlace<'a>,
    /// What the tasks that wait ask for.
    cores: f64,
}

impl Scheduler {
    /// The starts to order now, `starts_max` or little more.
    pub fn pass(
        &mut self,
        now_ms: u64,
        now_unix_ms: u64,
        world: &SchedulerWorld,
        starts_max: usize,
    ) -> Vec<Placement> {
        self.unadvised.clear();
        let (mut pools, shares) = self.candidates(now_ms, world);
        let queues = world.state.queues_by_name();
        let mut order: Vec<Waiting> = Vec::new();
        for job in world.state.active().filter(|job| job.verdict.is_none()) {
            waiting_steps(now_unix_ms, &queues, job, world, &mut order);
        }
        self.looked += (world.state.active_count() + order.len()) as u64;
        order.sort_by(|a, b| {
            a.rank
                .compare(&b.rank)
                .then(a.place.job.id.cmp(&b.place.job.id))
        });
        let mut starts = Vec::new();
        for Waiting { place, .. } in self.share(order, &shares, world.policy) {
            let Some(pool) = pools.get_mut(&place.job.pool) else {
                continue;
            };
            if starts.len() < starts_max {
                let queue = queues.get(place.job.queue.as_str()).copied();
                let most = starts_max - starts.len();
                let policy = &world.policy.placement;
                starts.extend(self.place_step(now_ms, &place, queue, pool, most, policy));
            }
        }
        for start in &starts {
            self.proposed.insert(start.task, start.clone());
        }
        starts
    }

    /// The same order, but that where steps of one class compete for a pool the large
    /// jobs get their share; pools take turns.
    fn share<'a>(
        &self,
        order: Vec<Waiting<'a>>,
        shares: &BTreeMap<&PoolName, Shares>,
        policy: &Policy,
    ) -> Vec<Waiting<'a>> {
        let large_part = policy.order.large_part;
        if large_part <= 0.0 {
            return order;
        }
        let mut shared = Vec::with_capacity(order.len());
        let mut rest = order.into_iter().peekable();
        while let Some(first) = rest.next() {
            let rank = first.rank;
            let mut class = vec![first];
            while let Some(next) = rest.next_if(|next| next.rank.shares_with(&rank)) {
                class.push(next);
            }
            shared.extend(self.share_class(class, shares, large_part));
        }
        shared
    }

    fn share_class<'a>(
        &self,
        class: Vec<Waiting<'a>>,
        shares: &BTreeMap<&PoolName, Shares>,
        large_part: f64,
    ) -> Vec<Waiting<'a>> {
        let mut pools: BTreeMap<&PoolName, (Shares, [Vec<Waiting>; 2])> = BTreeMap::new();
        for waiting in class {
            let job = waiting.place.job;
            let pool = &job.pool;
            let large = self.sizes.is_large(job.id);
            let (share, rows) = pools.entry(pool).or_insert_with(|| {
                let share = shares.get(pool).copied().unwrap_or_default();
                (share, Default::default())
            });
            share.asks(large, waiting.cores);
            rows[usize::from(large)].push(waiting);
        }
        let merged = pools.into_values().map(|(share, [small, large])| {
            let merged = share.merge(small, large, large_part, |waiting| waiting.cores);
            merged.into_iter()
        });
        take_turns(merged.collect())
    }

    fn candidates<'a>(&self, now_ms: u64, world: &SchedulerWorld<'a>) -> Pools<'a> {
        let (state, fleet) = (world.state, world.fleet);
        let mut proposed: BTreeMap<&InstanceName, Vec<TaskId>> = BTreeMap::new();
        for start in self.proposed.values() {
            proposed.entry(&start.worker).or_default().push(start.task);
        }
        let mut pools: BTreeMap<&PoolName, Vec<Candidate>> = BTreeMap::new();
        let mut shares: BTreeMap<&PoolName, Shares> = BTreeMap::new();
        for (name, worker, link) in fleet.linked(state) {
            let usable = link.takes_work(now_ms) && worker.takes_work();
            if !usable || self.closed.contains(name) {
                continue;
            }
            let mut candidate = Candidate {
                name,
                rack: worker.report.rack.as_ref().map(|r| r.as_str()),
                labels: &worker.report.labels,
                free: worker.report.capacity,
                serving: 0,
                best_effort: 0,
                lasting: 0,
                due: self.due.contains(name),
                failures: link.failures(),
                here: 0,
            };
            let share = shares.entry(&worker.report.pool).or_default();
            let runs = link.runs.keys().map(|(task, _)| *task);
            for task in runs.chain(proposed.get(name).into_iter().flatten().copied()) {
                if let Some(step) = step_of(state, task) {
                    candidate.take(step);
                    let cores = step.demand.cores();
                    share.has(self.sizes.is_large(task.job), cores);
                }
            }
            pools
                .entry(&worker.report.pool)
                .or_default()
                .push(candidate);
        }
        (pools, shares)
    }

    /// The starts of tasks of a step that find room, `most` at most; a gang starts whole,
    /// whatever its size, or not at all.
    fn place_step(
        &mut self,
        now_ms: u64,
        place: &StepPlace,
        queue: Option<&Queue>,
        pool: &mut [Candidate],
        most: usize,
        policy: &PlacementPolicy,
    ) -> Vec<Placement> {
        self.looked += 1;
        let step = &place.job.spec.steps[place.step];
        let demand = step.reserved();
        let waiting: Vec<u16> = place.waiting(&self.proposed);
        if !pool.iter().any(|c| c.free.holds(&demand)) || waiting.is_empty() {
            return Vec::new();
        }
        let advised = queue.is_some_and(|q| q.advice.is_some());
        if advised && !self.is_advised(now_ms, place, pool) {
            return Vec::new();
        }
        if step.per_worker_max.is_some() || step.lasting {
            let counts = place.counts(&self.proposed);
            for candidate in pool.iter_mut() {
                candidate.here = counts.get(candidate.name).copied().unwrap_or(0);
            }
        }
        let rack = step.rack_local.then(|| best_rack(pool, &demand)).flatten();
        let tickets = self.tickets.get(&place.task(0)).filter(|_| advised);
        let may_take = |c: &Candidate| {
            c.free.holds(&demand)
                && c.suits(step)
                && (!advised || is_allowed(now_ms, tickets, c.name))
                && (!step.gang || rack.is_none() || c.rack == rack.as_deref())
        };
        let most = if step.gang { waiting.len() } else { most };
        let together = place.gang_attempt();
        let mut starts = Vec::new();
        for index in waiting.iter().take(most) {
            self.looked += 1;
            let task = place.task(*index);
            let own = place.occurrence.task(task.step, *index);
            let avoid = own.and_then(|t| t.failed_on.as_ref());
            let cost = |c: &Candidate| c.cost(step, avoid, rack.as_deref(), policy);
            let free = pool.iter_mut().filter(|c| may_take(c));
            let best = free.min_by(|a, b| cost(a).total_cmp(&cost(b)));
            let Some(best) = best else {
                break;
            };
            best.take(step);
            best.here += 1;
            let attempt = own.map_or(0, |t| t.attempt) + 1;
            starts.push(Placement {
                task,
                attempt: if step.gang { together } else { attempt },
                worker: best.name.clone(),
            });
        }
        if step.gang && starts.len() < waiting.len() {
            // A part of a gang would wait in vain for the rest.
            for start in starts.drain(..) {
                if let Some(c) = pool.iter_mut().find(|c| *c.name == start.worker) {
                    c.give_back(step);
                }
            }
        }
        starts
    }

    /// Whether the advisor's word on enough workers is at hand; else notes what to
    /// ask.
    fn is_advised(&mut self, now_ms: u64, place: &StepPlace, pool: &[Candidate]) -> bool {
        let key = place.task(0);
        let tickets = self.tickets.entry(key).or_default();
        let unknown: Vec<InstanceName> = pool
            .iter()
            .filter(|c| tickets.get(c.name).is_none_or(|t| now_ms >= t.until_ms))
            .map(|c| c.name.clone())
            .collect();
        let any = pool
            .iter()
            .any(|c| is_allowed(now_ms, Some(tickets), c.name));
        if !unknown.is_empty() {
            self.unadvised.insert(key, unknown);
        }
        any
    }

    /// Takes the advisor's word on a step: tickets for the allowed workers, and the
    /// lasting knowledge that the others are not.
    pub(super) fn take_advice(
        &mut self,
        now_ms: u64,
        step: TaskId,
        asked: &[InstanceName],
        allowed: Vec<(InstanceName, String)>,
        until_ms: u64,
        refusal_ms: u64,
    ) {
        let tickets = self.tickets.entry(step).or_default();
        for name in asked {
            let ticket = Ticket {
                text: None,
                until_ms: now_ms + refusal_ms,
            };
            tickets.insert(name.clone(), ticket);
        }
        for (name, text) in allowed {
            let ticket = Ticket {
                text: Some(text),
                until_ms,
            };
            tickets.insert(name, ticket);
        }
    }
}

/// Candidates and shares by pool.
type Pools<'a> = (
    BTreeMap<&'a PoolName, Vec<Candidate<'a>>>,
    BTreeMap<&'a PoolName, Shares>,
);

/// The steps of a job of which tasks wait and may start.
fn waiting_steps<'a>(
    now_unix_ms: u64,
    queues: &BTreeMap<&str, &Queue>,
    job: &'a Job,
    world: &SchedulerWorld,
    order: &mut Vec<Waiting<'a>>,
) {
    let queue = queues.get(job.queue.as_str()).copied();
    let mut times = None;
    for (k, occurrence) in job.occurrences() {
        for step in 0..job.spec.steps.len() {
            let waits = occurrence.step(step).iter().filter(|t| t.is_waiting());
            let waits = waits.count();
            if waits == 0 || !occurrence.may_start(&job.spec, step) {
                continue;
            }
            let (takes_ms, chains) = times.get_or_insert_with(|| {
                let takes_ms = world.estimates.run_times_ms(job);
                let chains = job.spec.chains_ms(&takes_ms);
                (takes_ms, chains)
            });
            let remaining = Remaining {
                chain_ms: chains.iter().copied().max().unwrap_or(0),
                left_ms: chains[step],
                work: work_left(job, occurrence, takes_ms),
            };
            let due_unix_ms = job.due_unix_ms(k);
            let order_policy = &world.policy.order;
            let rank = rank(
                now_unix_ms,
                job,
                queue,
                due_unix_ms,
                &remaining,
                order_policy,
            );
            order.push(Waiting {
                rank,
                place: StepPlace {
                    job,
                    k,
                    step,
                    occurrence,
                },
                cores: waits as f64 * job.spec.steps[step].demand.cores(),
            });
        }
    }
}

/// One of each row after the other, until all are through.
fn take_turns<T>(mut rows: Vec<impl Iterator<Item = T>>) -> Vec<T> {
    let mut all = Vec::new();
    loop {
        let before = all.len();
        all.extend(rows.iter_mut().filter_map(Iterator::next));
        if all.len() == before {
            return all;
        }
    }
}

fn step_of(state: &State, task: TaskId) -> Option<&Step> {
    let job = state.job(task.job)?;
    job.spec.steps.get(usize::from(task.step))
}

fn is_allowed(
    now_ms: u64,
    tickets: Option<&BTreeMap<InstanceName, Ticket>>,
    name: &InstanceName,
) -> bool {
    tickets
        .and_then(|tickets| tickets.get(name))
        .is_some_and(|t| t.text.is_some() && now_ms < t.until_ms)
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
