//! The scheduler: assigns waiting tasks to workers with free room.
//!
//! Workers run mixed loads on limited room. A task is placed only where it fits beside
//! every run that may still be there, including runs that are being stopped. Lasting
//! tasks are spread over workers. Tasks that serve users are kept apart from best-effort
//! tasks, which slow them down by an amount that no caller declares.
//!
//! When the backlog exceeds the room of every pool, a scheduling pass visits only the
//! steps that may start, not the whole backlog. Pools take turns at the limited number of
//! starts in flight, regardless of the priorities of their queues: a priority orders only
//! work that competes for the same workers, and otherwise a pool with idle workers would
//! wait while the starts of other pools use up the limit.

use std::collections::{BTreeMap, BTreeSet};

use super::backlog::{Backlog, BacklogWorld};
use super::candidate::{Candidate, any_rack_could_hold, best_rack};
use super::candidates::{Candidates, Preferences};
use super::pending_step::PendingStep;
use super::placed_start::Placement;
use super::pool_pass::{PoolPass, Stage};
use super::quota_room::QuotaRoom;
use super::scheduler_input::SchedulerInput;
use super::tickets::Tickets;
use crate::control::{
    PlacementPolicy, Queue, RunLoad, SizeShares, Sizes, State, TaskFaults, WorkspaceShares,
};
use crate::jobs::{Job, JobId, TaskId};
use crate::model::{InstanceName, PoolName, WorkspaceName};

/// Maximum number of steps per pass to request advice for. Only a few requests are open
/// at a time, and requests may already be open for as many of the first steps.
const MISSING_ADVICE_MAX: usize = 16;

/// The scheduler's own state, beside the replicated state and the links to workers.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Starts that are proposed to the log and not yet applied.
    pub(in crate::control) proposed: BTreeMap<TaskId, Placement>,
    /// Workers that are being drained and get no new tasks.
    pub(in crate::control) closed: BTreeSet<InstanceName>,
    /// Workers whose machines are due for upkeep: lasting tasks preferably go elsewhere.
    pub(in crate::control) upkeep_due: BTreeSet<InstanceName>,
    /// The advisor's answers.
    pub(in crate::control) tickets: Tickets,
    /// The jobs that are large by the measure of their queues.
    pub(in crate::control) sizes: Sizes,
    /// The jobs that are beyond the shares of their workspaces.
    pub(in crate::control) shares: WorkspaceShares,
    /// Tasks that failed or stalled, and whose starts are delayed.
    pub(in crate::control) faults: TaskFaults,
    /// Steps without valid advice and the workers to ask about, in backlog order.
    missing_advice: Vec<(TaskId, Vec<InstanceName>)>,
    /// The steps that wait to be placed.
    backlog: Backlog,
    /// Workspaces with a waiting step for which their quota had no room in the last pass.
    pub(in crate::control) at_quota: BTreeSet<WorkspaceName>,
    /// Number of passes so far; rotates which pool goes first.
    rotation: usize,
    /// Number of items visited by passes (jobs, waiting steps and searches for a worker),
    /// as a measure of the processor time spent.
    pub(in crate::control) visited: u64,
    /// Number of workers that searches for room have looked at.
    candidates_visited: u64,
}

impl Scheduler {
    /// Records the size of a job that has arrived, to tell which jobs of its queue are
    /// large, and which are beyond the shares of their workspaces.
    pub fn record_arrival(&mut self, state: &State, job: &Job) {
        let estimates = state.history().estimates();
        self.sizes.record_arrival(job, estimates);
        let configuration = state.configuration();
        let workspace = job
            .workspace
            .as_ref()
            .and_then(|name| configuration?.workspace(name.as_str()));
        if let Some(workspace) = workspace {
            self.shares.record_arrival(job, workspace.weight);
        }
    }

    /// Marks a job as changed, so that the next refresh ranks it again.
    pub fn touch(&mut self, job: JobId) {
        self.backlog.touch(job);
    }

    /// Updates the ranks of changed jobs; returns the jobs that were visited.
    pub fn refresh(&mut self, now_unix_ms: u64, world: &SchedulerInput) -> BTreeSet<JobId> {
        let world = BacklogWorld {
            state: world.state,
            estimates: world.estimates,
            policy: world.policy,
            sizes: &self.sizes,
            shares: &self.shares,
        };
        let visited = self.backlog.refresh(now_unix_ms, &world);
        self.visited += visited.len() as u64;
        visited
    }

    /// Returns how many workers the searches for room have looked at since the start.
    pub fn candidates_visited(&self) -> u64 {
        self.candidates_visited
    }

    /// Runs a scheduling pass and returns the starts to order: about `starts_max` at most,
    /// exceeded only by a gang, which starts whole. Changes since the last
    /// [`Self::refresh`] are not taken into account.
    pub fn pass(
        &mut self,
        now_ms: u64,
        world: &SchedulerInput,
        starts_max: usize,
    ) -> Vec<Placement> {
        self.missing_advice.clear();
        if self.backlog.is_empty() {
            self.at_quota.clear();
            return Vec::new();
        }
        // Moved out of `self`, as the pass borrows the backlog and changes other fields.
        let mut backlog = std::mem::take(&mut self.backlog);
        let mut found = self.candidates(now_ms, world, &backlog);
        let mut pools: Vec<PoolPass> = backlog
            .pools()
            .filter_map(|(pool, pool_backlog)| {
                let candidates = found.remove(pool)?;
                Some(PoolPass::new(pool, pool_backlog, candidates, world.policy))
            })
            .collect();
        let mut quotas = QuotaRoom::new(world.state, &self.proposed);
        let starts = self.place_round_robin(now_ms, world, &mut pools, &mut quotas, starts_max);
        self.at_quota = quotas.into_reached();
        let resume: Vec<_> = pools
            .iter()
            .filter_map(|pass| match pass.stage {
                Stage::Full(reached) => Some((pass.pool.clone(), reached)),
                Stage::Exhausted => Some((pass.pool.clone(), [None, None])),
                Stage::FromStart | Stage::Resumed => None,
            })
            .collect();
        let visited = pools.iter().map(|pass| pass.candidates.visited());
        self.candidates_visited += visited.sum::<u64>();
        drop(pools);
        for (pool, reached) in resume {
            backlog.resume_after(&pool, reached);
        }
        self.backlog = backlog;
        starts
    }

    /// Places one step of each pool in turn until nothing more fits or `starts_max` is
    /// reached.
    fn place_round_robin(
        &mut self,
        now_ms: u64,
        world: &SchedulerInput,
        pools: &mut [PoolPass],
        quotas: &mut QuotaRoom,
        starts_max: usize,
    ) -> Vec<Placement> {
        let queues = world.state.queues_by_name();
        let mut starts = Vec::new();
        self.rotation = self.rotation.wrapping_add(1);
        let mut index = self.rotation;
        while pools.iter().any(PoolPass::is_active) {
            index = index.wrapping_add(1);
            let pool = index % pools.len();
            let pass = &mut pools[pool];
            if !pass.is_active() {
                continue;
            }
            if starts.len() >= starts_max {
                break;
            }
            let starts_left = starts_max - starts.len();
            starts.extend(self.place_next(now_ms, world, &queues, pass, quotas, starts_left));
        }
        starts
    }

    /// Places the next step of a pool that finds room and returns its starts; empty if no
    /// step does.
    fn place_next(
        &mut self,
        now_ms: u64,
        world: &SchedulerInput,
        queues: &BTreeMap<&str, &Queue>,
        pass: &mut PoolPass,
        quotas: &mut QuotaRoom,
        starts_left: usize,
    ) -> Vec<Placement> {
        while pass.is_active() {
            let Some((entry, demand)) = pass.steps.next() else {
                pass.stage = Stage::Exhausted;
                break;
            };
            self.visited += 1;
            if !pass.largest.fits(&demand.room) {
                pass.record_miss(world.policy);
                continue;
            }
            let faults = &self.faults;
            let may_start = |task| faults.may_start(now_ms, task);
            let pending = PendingStep::find(world.state, entry, &self.proposed, may_start);
            let Some(pending) = pending.filter(|pending| !pending.waiting.is_empty()) else {
                // All its starts are proposed already or delayed, so this is no lack of room.
                continue;
            };
            let (job, step) = (pending.job, pending.step);
            let fitting = quotas.count_fitting(job, step);
            let together = match job.spec.steps[step].gang {
                true => pending.waiting.len(),
                false => 1,
            };
            if fitting < together
                && let Some(workspace) = &job.workspace
            {
                // This is no lack of room in the pool: the steps of others go on.
                quotas.record_reached(workspace);
                pass.steps.close(workspace);
                continue;
            }
            let starts_left = starts_left.min(fitting);
            let queue = queues.get(job.queue.as_str()).copied();
            let (pool, policy) = (&mut pass.candidates, &world.policy.placement);
            let starts = self.place_step(now_ms, &pending, queue, pool, starts_left, policy);
            if starts.is_empty() {
                pass.record_miss(world.policy);
                continue;
            }
            quotas.record_starts(job, step, starts.len());
            pass.record_placed();
            // Recorded at once, because a pass may visit a step twice: from the start of the
            // backlog and again after resuming. Otherwise the second visit would place the
            // same tasks again, and more on a worker than the step's limit allows.
            let proposed = starts.iter().map(|start| (start.task, start.clone()));
            self.proposed.extend(proposed);
            return starts;
        }
        Vec::new()
    }

    /// Returns, for each pool with waiting steps, the workers that take work and the cores
    /// in use by small and large jobs.
    fn candidates<'a>(
        &self,
        now_ms: u64,
        world: &SchedulerInput<'a>,
        backlog: &Backlog,
    ) -> BTreeMap<&'a PoolName, (Vec<Candidate<'a>>, SizeShares)> {
        let (state, fleet) = (world.state, world.fleet);
        let proposed = self.proposed_loads(state);
        let mut pools: BTreeMap<&PoolName, (Vec<Candidate>, SizeShares)> = BTreeMap::new();
        for (name, worker, link) in fleet.linked_workers(state) {
            let usable = link.takes_work(now_ms) && worker.takes_work();
            let pool = &worker.report.pool;
            if !usable || !backlog.has_waiting(pool) || self.closed.contains(name) {
                continue;
            }
            let mut used = *link.runs.used();
            if let Some(load) = proposed.get(name) {
                used = used.plus(load);
            }
            let (candidates, running) = pools.entry(pool).or_default();
            running.add_running(false, used.cpu_milli[0] as f64 / 1_000.0);
            running.add_running(true, used.cpu_milli[1] as f64 / 1_000.0);
            candidates.push(Candidate {
                name,
                zone: worker.report.zone.as_str(),
                rack: worker.report.rack.as_ref().map(|r| r.as_str()),
                labels: &worker.report.labels,
                transient_room: worker.report.capacity.saturating_sub(&used.lasting_room()),
                free: worker.report.capacity.saturating_sub(&used.reserved),
                serving: used.serving,
                best_effort: used.best_effort,
                upkeep_due: self.upkeep_due.contains(name),
                failures: link.failures(),
                step_runs: 0,
            });
        }
        pools
    }

    /// Returns the room that proposed starts take of each worker.
    fn proposed_loads(&self, state: &State) -> BTreeMap<InstanceName, RunLoad> {
        let mut loads: BTreeMap<InstanceName, RunLoad> = BTreeMap::new();
        for start in self.proposed.values() {
            let load = loads.entry(start.worker.clone()).or_default();
            *load = load.plus(&self.load_of(state, start.task));
        }
        loads
    }

    /// Returns what a run of a task takes of its worker.
    pub(in crate::control) fn load_of(&self, state: &State, task: TaskId) -> RunLoad {
        let job = state.job(task.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step)));
        step.map_or_else(RunLoad::default, |step| {
            RunLoad::of(step, self.sizes.is_large(task.job))
        })
    }

    /// Places the waiting tasks of a step that find room, at most `starts_left` of them. A
    /// gang is placed whole, whatever its size, or not at all.
    fn place_step(
        &mut self,
        now_ms: u64,
        pending: &PendingStep,
        queue: Option<&Queue>,
        pool: &mut Candidates,
        starts_left: usize,
        policy: &PlacementPolicy,
    ) -> Vec<Placement> {
        self.visited += 1;
        let step = &pending.job.spec.steps[pending.step];
        let demand = step.reserved();
        if !pool.any_fits(&demand) {
            return Vec::new();
        }
        let advised = queue.is_some_and(|q| q.advice.is_some());
        if advised && !self.is_advised(now_ms, pending, pool.all()) {
            return Vec::new();
        }
        if step.per_worker_max.is_some() || step.lasting {
            let counts = pending.runs_by_worker(&self.proposed);
            for candidate in pool.all_mut() {
                candidate.step_runs = counts.get(candidate.name).copied().unwrap_or(0);
            }
        }
        let key = pending.task(0);
        let tickets = &self.tickets;
        let may_run = |c: &Candidate| !advised || tickets.is_allowed(now_ms, key, c.name);
        let waiting = &pending.waiting;
        let rack = match (step.rack_local, step.gang) {
            (false, _) => None,
            (true, false) => best_rack(pool.all(), step, 1, may_run),
            (true, true) => {
                let rack = best_rack(pool.all(), step, waiting.len(), may_run);
                // A gang runs slower across several racks, so it waits for one rack unless
                // every rack is too small for it.
                let could_run = |c: &Candidate| !advised || !tickets.is_denied(now_ms, key, c.name);
                if rack.is_none() && any_rack_could_hold(pool.all(), step, waiting.len(), could_run)
                {
                    return Vec::new();
                }
                rack
            }
        };
        let zone = match step.lasting || step.gang || !policy.keep_zone {
            true => None,
            false => pool.best_zone(step, waiting.len(), &pending.runs_by_zone, may_run),
        };
        let may_take = |c: &Candidate| {
            c.free.fits(&demand)
                && c.meets_constraints(step)
                && may_run(c)
                && (!step.gang || rack.is_none() || c.rack == rack.as_deref())
        };
        if step.gang {
            // A part of a gang would wait in vain for the rest. Counting free places first
            // is cheaper than placing tentatively and rolling back, which for a gang that
            // does not fit scans all workers once per task in every pass.
            let free = pool.all().iter().filter(|c| may_take(c));
            let fitting: usize = free.map(|c| c.tasks_that_fit(step)).sum();
            if fitting < waiting.len() {
                return Vec::new();
            }
        }
        let starts_left = if step.gang {
            waiting.len()
        } else {
            starts_left
        };
        let gang_attempt = pending.next_gang_attempt();
        let mut starts = Vec::new();
        for index in waiting.iter().take(starts_left) {
            self.visited += 1;
            let task = pending.task(*index);
            let state = pending.occurrence.task(task.step, *index);
            let preferences = Preferences {
                avoid: state.and_then(|t| t.failed_on.as_ref()),
                zone,
                rack: rack.as_deref(),
            };
            // A gang is placed whole, and a single worker is better than none.
            let may_avoid = !step.gang && pool.all().len() > 1;
            let avoid = preferences
                .avoid
                .filter(|_| may_avoid && self.faults.is_fresh(now_ms, task));
            let may_take = |c: &Candidate| may_take(c) && avoid != Some(c.name);
            let Some(best) = pool.best(step, preferences, policy, may_take) else {
                match avoid {
                    Some(_) => continue,
                    None => break,
                }
            };
            let worker = pool.reserve(best, step).clone();
            let attempt = state.map_or(0, |t| t.attempt) + 1;
            starts.push(Placement {
                task,
                attempt: if step.gang { gang_attempt } else { attempt },
                worker,
            });
        }
        starts
    }

    /// Returns whether the advisor allows the step on any worker, and records the workers
    /// for which advice is missing or has expired.
    fn is_advised(&mut self, now_ms: u64, pending: &PendingStep, pool: &[Candidate]) -> bool {
        let key = pending.task(0);
        let tickets = &self.tickets;
        if self.missing_advice.len() < MISSING_ADVICE_MAX {
            let unknown: Vec<InstanceName> = pool
                .iter()
                .filter(|c| !tickets.is_known(now_ms, key, c.name))
                .map(|c| c.name.clone())
                .collect();
            if !unknown.is_empty() {
                self.missing_advice.push((key, unknown));
            }
        }
        pool.iter().any(|c| tickets.is_allowed(now_ms, key, c.name))
    }

    /// Takes the steps for which the last pass found no valid advice, in backlog order, and
    /// the workers to ask about. The order matters: when the advisor cannot keep up, steps
    /// that are asked about in another order may never get an answer.
    pub(in crate::control) fn take_missing_advice(&mut self) -> Vec<(TaskId, Vec<InstanceName>)> {
        std::mem::take(&mut self.missing_advice)
    }
}
