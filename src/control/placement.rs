//! Where tasks go: a pass over what waits and what is free.
//!
//! Answers mixed work on workers of limited room. A task goes only where it fits
//! beside everything that may still run there, stops included; lasting tasks are
//! spread, and those that serve users are kept apart from best-effort ones, which
//! slow them down by amounts that nobody declares.
//!
//! Answers also a backlog that no pool has room for: a pass looks at what may start, not
//! at all that waits. Pools take turns at the starts that may be on their way, whatever
//! the priorities of their queues: those order work that competes for the same workers,
//! and a pool with idle ones would wait for starts that others' workers take.

use std::collections::{BTreeMap, BTreeSet};

use super::backlog::{Backlog, BacklogWorld};
use super::candidate::{Candidate, a_rack_could_hold, best_rack};
use super::pool_pass::{PoolPass, Stage};
use super::step_place::StepPlace;
use super::{Estimates, Fleet, PlacementPolicy, Policy, Queue, RunLoad, Shares, Sizes, State};
use crate::jobs::{Job, JobId, TaskId};
use crate::model::{InstanceName, PoolName};

/// Steps that are noted in a pass to ask the advisor about: a few questions are open at
/// once, and as many that come first may be asked about already.
const UNADVISED_MAX: usize = 16;

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
    /// Steps whose advice is missing, with the workers to ask about, as they come in the
    /// order of what waits.
    unadvised: Vec<(TaskId, Vec<InstanceName>)>,
    /// What waits.
    backlog: Backlog,
    /// The pool whose turn is first in the next pass.
    turn: usize,
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

impl Scheduler {
    /// A job came whose size counts among those of its queue.
    pub fn arrived(&mut self, job: &Job, estimates: &Estimates) {
        self.sizes.arrived(job, estimates);
    }

    /// Something of a job changed: it is ranked anew.
    pub fn touch(&mut self, job: JobId) {
        self.backlog.touch(job);
    }

    /// Ranks anew what has to be; returns the jobs that were looked at.
    pub fn refresh(&mut self, now_unix_ms: u64, world: &SchedulerWorld) -> BTreeSet<JobId> {
        let world = BacklogWorld {
            state: world.state,
            estimates: world.estimates,
            policy: world.policy,
            sizes: &self.sizes,
        };
        let looked = self.backlog.refresh(now_unix_ms, &world);
        self.looked += looked.len() as u64;
        looked
    }

    /// The starts to order now, `starts_max` or little more. What changed since the last
    /// [`Self::refresh`] is not seen.
    pub fn pass(
        &mut self,
        now_ms: u64,
        world: &SchedulerWorld,
        starts_max: usize,
    ) -> Vec<Placement> {
        self.unadvised.clear();
        // Taken out for the pass, which changes the rest.
        let mut backlog = std::mem::take(&mut self.backlog);
        let mut found = self.candidates(now_ms, world, &backlog);
        let mut pools: Vec<PoolPass> = backlog
            .pools()
            .filter_map(|(pool, row)| {
                let here = found.remove(pool)?;
                Some(PoolPass::new(pool, row, here, world.policy))
            })
            .collect();
        let starts = self.take_turns(now_ms, world, &mut pools, starts_max);
        let resume: Vec<_> = pools
            .iter()
            .filter_map(|pass| match pass.stage {
                Stage::Full(reached) => Some((pass.pool.clone(), reached)),
                Stage::Over => Some((pass.pool.clone(), [None, None])),
                Stage::First | Stage::Rest => None,
            })
            .collect();
        drop(pools);
        for (pool, reached) in resume {
            backlog.resume_behind(&pool, reached);
        }
        self.backlog = backlog;
        starts
    }

    /// One step of each pool after the other, until nothing more fits or may start.
    fn take_turns(
        &mut self,
        now_ms: u64,
        world: &SchedulerWorld,
        pools: &mut [PoolPass],
        starts_max: usize,
    ) -> Vec<Placement> {
        let queues = world.state.queues_by_name();
        let mut starts = Vec::new();
        self.turn = self.turn.wrapping_add(1);
        let mut turn = self.turn;
        while pools.iter().any(PoolPass::is_on) {
            turn = turn.wrapping_add(1);
            let place = turn % pools.len();
            let pass = &mut pools[place];
            if !pass.is_on() {
                continue;
            }
            if starts.len() >= starts_max {
                break;
            }
            let most = starts_max - starts.len();
            starts.extend(self.place_next(now_ms, world, &queues, pass, most));
        }
        starts
    }

    /// The starts of the next step of a pool that finds room; none if no step does.
    fn place_next(
        &mut self,
        now_ms: u64,
        world: &SchedulerWorld,
        queues: &BTreeMap<&str, &Queue>,
        pass: &mut PoolPass,
        most: usize,
    ) -> Vec<Placement> {
        while pass.is_on() {
            let Some((entry, waits)) = pass.order.next() else {
                pass.stage = Stage::Over;
                break;
            };
            self.looked += 1;
            if !pass.largest.holds(&waits.room) {
                pass.missed(world.policy);
                continue;
            }
            let place = StepPlace::find(world.state, entry, &self.proposed);
            let Some(place) = place.filter(|place| !place.waiting.is_empty()) else {
                // All its starts are on their way: it lacks no room.
                continue;
            };
            let queue = queues.get(place.job.queue.as_str()).copied();
            let (pool, policy) = (&mut pass.candidates, &world.policy.placement);
            let starts = self.place_step(now_ms, &place, queue, pool, most, policy);
            if starts.is_empty() {
                pass.missed(world.policy);
                continue;
            }
            pass.misses = 0;
            pass.measure();
            // At once: a pass can come to a step twice, along its order and along the rest.
            // Without these starts it would place the same tasks again, and beside them more
            // on a worker than the step allows.
            let on_their_way = starts.iter().map(|start| (start.task, start.clone()));
            self.proposed.extend(on_their_way);
            return starts;
        }
        Vec::new()
    }

    /// The workers that may get work, and what runs, of each pool in which something
    /// waits.
    fn candidates<'a>(
        &self,
        now_ms: u64,
        world: &SchedulerWorld<'a>,
        backlog: &Backlog,
    ) -> BTreeMap<&'a PoolName, (Vec<Candidate<'a>>, Shares)> {
        let (state, fleet) = (world.state, world.fleet);
        let proposed = self.proposed_loads(state);
        let mut pools: BTreeMap<&PoolName, (Vec<Candidate>, Shares)> = BTreeMap::new();
        for (name, worker, link) in fleet.linked(state) {
            let usable = link.takes_work(now_ms) && worker.takes_work();
            let pool = &worker.report.pool;
            if !usable || !backlog.waits_in(pool) || self.closed.contains(name) {
                continue;
            }
            let mut used = *link.runs.used();
            if let Some(load) = proposed.get(name) {
                used = used.plus(load);
            }
            let (candidates, running) = pools.entry(pool).or_default();
            running.has(false, used.cpu_milli[0] as f64 / 1_000.0);
            running.has(true, used.cpu_milli[1] as f64 / 1_000.0);
            candidates.push(Candidate {
                name,
                rack: worker.report.rack.as_ref().map(|r| r.as_str()),
                labels: &worker.report.labels,
                room: worker.report.capacity.less(&used.lasting_room()),
                free: worker.report.capacity.less(&used.reserved),
                serving: used.serving,
                best_effort: used.best_effort,
                due: self.due.contains(name),
                failures: link.failures(),
                here: 0,
            });
        }
        pools
    }

    /// What starts on their way into the log take of each worker.
    fn proposed_loads(&self, state: &State) -> BTreeMap<InstanceName, RunLoad> {
        let mut loads: BTreeMap<InstanceName, RunLoad> = BTreeMap::new();
        for start in self.proposed.values() {
            let load = loads.entry(start.worker.clone()).or_default();
            *load = load.plus(&self.load_of(state, start.task));
        }
        loads
    }

    /// What a run of a task takes of its worker.
    pub(super) fn load_of(&self, state: &State, task: TaskId) -> RunLoad {
        let job = state.job(task.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step)));
        step.map_or_else(RunLoad::default, |step| {
            RunLoad::of(step, self.sizes.is_large(task.job))
        })
    }

    /// The starts of the waiting tasks of a step that find room, `most` at most; a gang starts whole,
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
        if !pool.iter().any(|c| c.free.holds(&demand)) {
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
        let tickets = self.tickets.get(&place.task(0)).filter(|_| advised);
        let may_run = |c: &Candidate| !advised || is_allowed(now_ms, tickets, c.name);
        let waiting = &place.waiting;
        let rack = match (step.rack_local, step.gang) {
            (false, _) => None,
            (true, false) => best_rack(pool, step, 1, may_run),
            (true, true) => {
                let rack = best_rack(pool, step, waiting.len(), may_run);
                // On several racks it is slower: it waits, but not for a rack that is too
                // small for it.
                let may_ever = |c: &Candidate| !advised || !is_refused(now_ms, tickets, c.name);
                if rack.is_none() && a_rack_could_hold(pool, step, waiting.len(), may_ever) {
                    return Vec::new();
                }
                rack
            }
        };
        let may_take = |c: &Candidate| {
            c.free.holds(&demand)
                && c.suits(step)
                && may_run(c)
                && (!step.gang || rack.is_none() || c.rack == rack.as_deref())
        };
        if step.gang {
            // A part of a gang would wait in vain for the rest. Its places are counted
            // first: tried out task by task and taken back, a gang that finds no room costs
            // a walk of all workers for each of its tasks, in every pass.
            let free = pool.iter().filter(|c| may_take(c));
            let places: usize = free.map(|c| c.places(step)).sum();
            if places < waiting.len() {
                return Vec::new();
            }
        }
        let most = if step.gang { waiting.len() } else { most };
        let together = place.gang_attempt();
        let mut starts = Vec::new();
        for index in waiting.iter().take(most) {
            self.looked += 1;
            let task = place.task(*index);
            let own = place.occurrence.task(task.step, *index);
            let avoid = own.and_then(|t| t.failed_on.as_ref());
            let free = pool.iter_mut().filter(|c| may_take(c));
            let costs = free.map(|c| (c.cost(step, avoid, rack.as_deref(), policy), c));
            let best = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
            let Some((_, best)) = best else {
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
        starts
    }

    /// Whether the advisor's word on enough workers is at hand; else notes what to
    /// ask.
    fn is_advised(&mut self, now_ms: u64, place: &StepPlace, pool: &[Candidate]) -> bool {
        let key = place.task(0);
        let tickets = self.tickets.get(&key);
        if self.unadvised.len() < UNADVISED_MAX {
            let known = |name| tickets.and_then(|t| t.get(name));
            let unknown: Vec<InstanceName> = pool
                .iter()
                .filter(|c| known(c.name).is_none_or(|t| now_ms >= t.until_ms))
                .map(|c| c.name.clone())
                .collect();
            if !unknown.is_empty() {
                self.unadvised.push((key, unknown));
            }
        }
        pool.iter().any(|c| is_allowed(now_ms, tickets, c.name))
    }

    /// The steps whose advice the last pass missed, the first in the order of what waits
    /// first, and the workers to ask about. While more come than the advisor can answer,
    /// what is asked in another order has its turn by chance or never.
    pub(super) fn take_unadvised(&mut self) -> Vec<(TaskId, Vec<InstanceName>)> {
        std::mem::take(&mut self.unadvised)
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

/// Whether the advisor said that a worker may not run a step.
fn is_refused(
    now_ms: u64,
    tickets: Option<&BTreeMap<InstanceName, Ticket>>,
    name: &InstanceName,
) -> bool {
    tickets
        .and_then(|tickets| tickets.get(name))
        .is_some_and(|t| t.text.is_none() && now_ms < t.until_ms)
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
