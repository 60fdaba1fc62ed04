//! Planner for maintenance waves: which machine is drained next, and when its upkeep begins.
//!
//! A wave falls due while the pools serve work. To drain a machine, the planner closes it
//! to new tasks, stops its lasting tasks within the disruption budget of each step and
//! gives its other tasks some time to end. It drains further machines while others are
//! down, so that the wave meets its deadline without ever having more machines down than
//! it allows.

use std::collections::{BTreeMap, BTreeSet};

use super::disruption_budget::DisruptionBudget;
use super::down::Down;
use super::draining::Draining;
use super::input::UpkeepInput;
use super::order_state::OrderState;
use super::step::UpkeepStep;
use crate::control::{RunPhase, State, Wave};
use crate::model::{InstanceName, PoolName};

/// Delay before an order that the platform refused or did not answer is sent again.
const RETRY_DELAY_MS: u64 = 500;

/// The leader's planner for maintenance waves.
#[derive(Debug, Default)]
pub struct Upkeep {
    /// Machines that are being drained, by name.
    draining: BTreeMap<String, Draining>,
    /// Machines whose upkeep has begun and that are not back yet, by name.
    down: BTreeMap<String, Down>,
}

impl Upkeep {
    /// Builds the planner of a new leader from the replicated state. A machine whose upkeep
    /// has begun and that has no worker counts as down. A machine whose upkeep an earlier
    /// leader ordered may be down, so its order counts as unconfirmed.
    pub fn new(now_ms: u64, state: &State) -> Self {
        let begun = state.waves().values().flat_map(|w| &w.begun);
        let down = begun
            .filter(|machine| state.worker_on(machine).is_none())
            .map(|machine| {
                let down = Down {
                    since_ms: now_ms,
                    ordered_ms: 0,
                    ended_workers: Vec::new(),
                };
                (machine.clone(), down)
            })
            .collect();
        let mut draining = BTreeMap::new();
        for wave in state.waves().values() {
            for (machine, worker) in wave.ordered() {
                let unconfirmed = Draining {
                    wave: wave.number,
                    worker: worker.clone(),
                    since_ms: now_ms,
                    order: OrderState::Unconfirmed,
                    ever_unanswered: true,
                    ordered_ms: now_ms,
                    retry_ms: now_ms,
                };
                draining.insert(machine.clone(), unconfirmed);
            }
        }
        Self { draining, down }
    }

    /// Returns the workers that are closed to new tasks because their machines are being
    /// drained.
    pub fn closed_workers(&self) -> impl Iterator<Item = &InstanceName> {
        self.draining.values().filter_map(|e| e.worker.as_ref())
    }

    /// Returns the machines that are being drained or are down for upkeep.
    pub fn machines_in_upkeep(&self) -> impl Iterator<Item = &String> {
        self.draining.keys().chain(self.down.keys())
    }

    /// Returns the machines of all waves whose upkeep has not begun.
    pub fn due_machines(state: &State) -> BTreeSet<String> {
        let due = state.waves().values().flat_map(Wave::due);
        due.cloned().collect()
    }

    /// Returns the workers on machines that are due for upkeep.
    pub fn due_workers(state: &State) -> BTreeSet<InstanceName> {
        let due = state.waves().values().flat_map(Wave::due);
        due.filter_map(|machine| state.worker_on(machine).cloned())
            .collect()
    }

    /// Records that the upkeep of a machine has begun or, with `gone`, that the machine no
    /// longer exists.
    pub fn record_begun(&mut self, now_ms: u64, machine: &str, gone: bool, state: &State) {
        let draining = self.draining.remove(machine);
        if gone {
            return;
        }
        let known = state.worker_on(machine).cloned();
        let ordered_ms = draining.as_ref().map_or(now_ms, |e| e.ordered_ms);
        let drained = draining.and_then(|e| e.worker);
        let down = Down {
            since_ms: now_ms,
            ordered_ms,
            ended_workers: drained.into_iter().chain(known).collect(),
        };
        self.down.insert(machine.to_owned(), down);
    }

    /// Records that the platform refused the order, or did not answer it, and schedules a
    /// retry.
    pub fn record_not_begun(&mut self, now_ms: u64, machine: &str, refused: bool) {
        if let Some(draining) = self.draining.get_mut(machine) {
            let unconfirmed = !refused || draining.ever_unanswered;
            draining.ever_unanswered = unconfirmed;
            draining.order = if unconfirmed {
                OrderState::Unconfirmed
            } else {
                OrderState::NotSent
            };
            draining.retry_ms = now_ms + RETRY_DELAY_MS;
        }
    }

    /// Returns the actions to take now.
    pub fn tick(&mut self, now_ms: u64, now_unix_ms: u64, world: &UpkeepInput) -> Vec<UpkeepStep> {
        let (state, timing) = (world.state, world.timing);
        let is_idle = state.waves().values().all(Wave::is_completed);
        if is_idle && self.down.is_empty() && self.draining.is_empty() {
            return Vec::new();
        }
        self.down.retain(|machine, down| {
            !down.is_back(now_ms, state.worker_on(machine), timing.upkeep_ms)
        });
        self.draining.retain(|machine, e| {
            let is_unchanged = match &e.worker {
                Some(worker) => state.worker_on(machine) == Some(worker),
                None => state.worker_on(machine).is_none(),
            };
            e.order != OrderState::NotSent || is_unchanged
        });
        let mut steps = Vec::new();
        let mut budget = DisruptionBudget::new(now_ms, world.fleet, timing);
        for wave in state.waves().values().filter(|w| !w.is_completed()) {
            let free_slots = self.free_slots(now_unix_ms, wave, world);
            self.select_machines(now_ms, wave, free_slots, &budget, world);
            self.drain_machines(now_ms, wave, world, &mut budget, &mut steps);
        }
        steps
    }

    /// Returns how many more machines to start draining now. The number at a time follows
    /// from the time that is left, so that the pools lose as few machines as possible at any
    /// moment.
    fn free_slots(&self, now_unix_ms: u64, wave: &Wave, world: &UpkeepInput) -> usize {
        let (timing, policy) = (world.timing, world.policy);
        let draining = self
            .draining
            .values()
            .filter(|e| e.wave == wave.number)
            .count();
        let down = wave
            .begun
            .iter()
            .filter(|m| self.down.contains_key(*m))
            .count();
        let passed_ms = now_unix_ms.saturating_sub(wave.accepted_unix_ms);
        let goal_ms = (wave.duration_ms as f64 * policy.goal_part) as u64;
        let left_ms = goal_ms.saturating_sub(passed_ms);
        let per_machine_ms = timing.upkeep_ms + policy.patience_ms;
        let left = wave.due().count() as u64;
        let concurrent = match left_ms.checked_div(per_machine_ms) {
            Some(rounds) if rounds > 0 => left.div_ceil(rounds) as usize + 1,
            _ => usize::MAX,
        };
        let most = concurrent.min(2 * wave.down_max.max(1));
        most.saturating_sub(draining + down)
    }

    /// Selects machines to drain. Machines that are off go first because they run no work,
    /// then those with the fewest tasks whose disruption budget is used up, then those of
    /// pools with few jobs.
    fn select_machines(
        &mut self,
        now_ms: u64,
        wave: &Wave,
        free_slots: usize,
        budget: &DisruptionBudget,
        world: &UpkeepInput,
    ) {
        if free_slots == 0 {
            return;
        }
        let (state, fleet, off) = (world.state, world.fleet, world.off);
        // A machine that is being moved comes back as another worker.
        let is_taken = |m: &&String| self.draining.contains_key(*m) || world.ordered.contains(*m);
        let free = wave.due().filter(|m| !is_taken(m));
        let mut free: Vec<(&String, Option<&InstanceName>)> = free
            .filter_map(|machine| match state.worker_on(machine) {
                Some(worker) => {
                    let heard = fleet.link(worker).is_some_and(|l| l.is_heard(now_ms));
                    heard.then_some((machine, Some(worker)))
                }
                None => off.contains(machine).then_some((machine, None)),
            })
            .collect();
        let jobs_by_pool = active_jobs_by_pool(state);
        // Each key iterates over a worker's runs, so it is computed only once.
        free.sort_by_cached_key(|(machine, worker)| match worker {
            Some(worker) => (
                1 + budget.blocked_tasks(state, worker),
                state
                    .worker(worker)
                    .and_then(|w| jobs_by_pool.get(&w.report.pool).copied())
                    .unwrap_or(0),
                fleet.runs_on(state, worker).count(),
                *machine,
            ),
            None => (0, 0, 0, *machine),
        });
        for (machine, worker) in free.into_iter().take(free_slots) {
            let draining = Draining {
                wave: wave.number,
                worker: worker.cloned(),
                since_ms: now_ms,
                order: OrderState::NotSent,
                ever_unanswered: false,
                ordered_ms: now_ms,
                retry_ms: now_ms,
            };
            tracing::info!(
                wave = wave.number,
                machine,
                ?worker,
                "upkeep: emptying begins"
            );
            self.draining.insert(machine.clone(), draining);
        }
    }

    /// Stops the tasks on draining machines as far as disruption budgets allow, and orders the
    /// upkeep of machines that are drained while the wave allows more machines to be down.
    fn drain_machines(
        &mut self,
        now_ms: u64,
        wave: &Wave,
        world: &UpkeepInput,
        budget: &mut DisruptionBudget,
        steps: &mut Vec<UpkeepStep>,
    ) {
        let (state, fleet, busy) = (world.state, world.fleet, world.busy);
        let down = wave
            .begun
            .iter()
            .filter(|m| self.down.contains_key(*m))
            .count();
        let counts_as_down =
            |e: &&Draining| e.order != OrderState::NotSent && e.wave == wave.number;
        let mut taken = down + self.draining.values().filter(counts_as_down).count();
        for (machine, draining) in &mut self.draining {
            if draining.wave != wave.number || draining.order == OrderState::Sent {
                continue;
            }
            let within_patience = now_ms < draining.since_ms + world.policy.patience_ms;
            let mut empty = draining.worker.as_ref().is_none_or(|w| !busy.contains(w));
            let runs = draining.worker.iter().flat_map(|w| fleet.runs_on(state, w));
            for (job, task, attempt) in runs {
                let Some(worker) = &draining.worker else {
                    continue;
                };
                empty = false;
                let step = &job.spec.steps[usize::from(task.step)];
                let view = fleet.run(worker, task, attempt);
                let stopping = view.is_none_or(|v| v.is_stopping());
                let starting = view.is_some_and(|v| matches!(v.phase, RunPhase::Starting { .. }));
                if stopping || starting || (within_patience && !step.lasting) {
                    continue;
                }
                if budget.try_take(job, task) {
                    steps.push(UpkeepStep::Stop {
                        worker: worker.clone(),
                        task,
                        attempt,
                    });
                }
            }
            let unconfirmed = draining.order == OrderState::Unconfirmed;
            let has_slot = unconfirmed || taken < wave.down_max;
            if empty && has_slot && now_ms >= draining.retry_ms {
                draining.order = OrderState::Sent;
                draining.ordered_ms = now_ms;
                taken += usize::from(!unconfirmed);
                steps.push(UpkeepStep::Begin {
                    wave: wave.number,
                    machine: machine.clone(),
                    worker: draining.worker.clone(),
                });
            }
        }
    }
}

/// Counts the active jobs of each pool, without lasting ones.
fn active_jobs_by_pool(state: &State) -> BTreeMap<PoolName, usize> {
    let mut jobs_by_pool: BTreeMap<PoolName, usize> = BTreeMap::new();
    for job in state.active().filter(|job| !job.spec.lasts()) {
        *jobs_by_pool.entry(job.pool.clone()).or_default() += 1;
    }
    jobs_by_pool
}
