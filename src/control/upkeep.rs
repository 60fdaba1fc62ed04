//! Maintenance waves: which machine is emptied next, and when its upkeep begins.
//!
//! Answers a wave that is due while the pools work. Machines are emptied one after
//! the other: closed for new tasks, their lasting tasks stopped within each step's
//! disruption budget, their other tasks given some time to end. Emptying the next
//! goes on while others are down, so that the wave keeps its time with no more
//! machines down than it allows.

use std::collections::{BTreeMap, BTreeSet};

use super::{Fleet, RunPhase, State, Timing, UpkeepPolicy, Wave};
use crate::jobs::{Job, TaskId};
use crate::model::{InstanceName, PoolName};

/// How long after the time of its upkeep a machine that does not report counts as
/// back: two reports' time. It is down for another reason then.
const BACK_LATE_MS: u64 = 3_000;
/// Pause after a refusal by the platform.
const RETRY_MS: u64 = 500;

/// What the leader wants done for waves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpkeepStep {
    /// Stop a run, to start it elsewhere.
    Stop {
        /// Where it runs.
        worker: InstanceName,
        /// The task.
        task: TaskId,
        /// The number of its start.
        attempt: u32,
    },
    /// Begin the upkeep of a machine that is empty.
    Begin {
        /// The wave's number.
        wave: u64,
        /// The machine.
        machine: String,
        /// The incarnation on it, none if it is off.
        worker: Option<InstanceName>,
    },
}

/// What the plan for the waves looks at.
#[derive(Clone, Copy, Debug)]
pub struct UpkeepWorld<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// The leader's links to workers.
    pub fleet: &'a Fleet,
    /// Machines that are off.
    pub off: &'a BTreeSet<String>,
    /// Workers with a start on its way.
    pub busy: &'a BTreeSet<InstanceName>,
    /// Times of the deployment.
    pub timing: &'a Timing,
    /// The weights.
    pub policy: &'a UpkeepPolicy,
}

/// The leader's plan for the waves.
#[derive(Debug, Default)]
pub struct Upkeep {
    /// Machines that are being emptied: since when, and for which wave.
    emptying: BTreeMap<String, Emptying>,
    /// Machines whose upkeep has begun and that are not back: since when.
    down: BTreeMap<String, Down>,
}

/// A machine that is down for its upkeep.
#[derive(Debug)]
struct Down {
    since_ms: u64,
    /// The incarnation that ended with it: the machine is back with the next one.
    before: Option<InstanceName>,
}

#[derive(Debug)]
struct Emptying {
    wave: u64,
    /// None on a machine that is off.
    worker: Option<InstanceName>,
    since_ms: u64,
    begin: Begin,
    /// Whether an order was ever left unanswered.
    doubted: bool,
    retry_ms: u64,
}

/// How far the order to begin an upkeep is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Begin {
    /// Not given, or refused.
    No,
    /// On its way.
    Asked,
    /// Not answered: it may have begun, so it counts as down until it is known.
    Doubtful,
}

impl Upkeep {
    /// The plan of a leader that begins: a machine whose upkeep has begun and that
    /// has no worker is down; one whose upkeep an earlier leader ordered may be.
    pub fn new(now_ms: u64, state: &State) -> Self {
        let known = Self::machines(state);
        let begun = state.waves().values().flat_map(|w| &w.begun);
        let down = begun
            .filter(|machine| !known.contains_key(machine))
            .map(|machine| {
                let down = Down {
                    since_ms: now_ms,
                    before: None,
                };
                (machine.clone(), down)
            })
            .collect();
        let mut emptying = BTreeMap::new();
        for wave in state.waves().values() {
            for (machine, worker) in wave.ordered() {
                let doubtful = Emptying {
                    wave: wave.number,
                    worker: worker.clone(),
                    since_ms: now_ms,
                    begin: Begin::Doubtful,
                    doubted: true,
                    retry_ms: now_ms,
                };
                emptying.insert(machine.clone(), doubtful);
            }
        }
        Self { emptying, down }
    }

    /// The workers that take no new tasks.
    pub fn closed(&self) -> impl Iterator<Item = &InstanceName> {
        self.emptying.values().filter_map(|e| e.worker.as_ref())
    }

    /// The machines with the workers on them.
    pub fn machines(state: &State) -> BTreeMap<&String, &InstanceName> {
        machines(state).collect()
    }

    /// The worker on a machine.
    pub fn worker_on<'a>(state: &'a State, machine: &str) -> Option<&'a InstanceName> {
        let mut all = machines(state);
        all.find(|(name, _)| *name == machine)
            .map(|(_, worker)| worker)
    }

    /// The machines that are down for upkeep, or about to be.
    pub fn taken(&self) -> impl Iterator<Item = &String> {
        self.emptying.keys().chain(self.down.keys())
    }

    /// The machines whose upkeep is due.
    pub fn due_machines(state: &State) -> BTreeSet<String> {
        let due = state.waves().values().flat_map(Wave::due);
        due.cloned().collect()
    }

    /// The workers whose machines are due for upkeep.
    pub fn due(state: &State) -> BTreeSet<InstanceName> {
        let due: BTreeSet<&String> = state.waves().values().flat_map(Wave::due).collect();
        if due.is_empty() {
            return BTreeSet::new();
        }
        machines(state)
            .filter(|(machine, _)| due.contains(machine))
            .map(|(_, worker)| worker.clone())
            .collect()
    }

    /// The upkeep of a machine has begun, or it is gone for good.
    pub fn begun(&mut self, now_ms: u64, machine: &str, gone: bool) {
        if gone {
            self.emptying.remove(machine);
            return;
        }
        let emptying = self.emptying.remove(machine);
        let down = Down {
            since_ms: now_ms,
            before: emptying.and_then(|e| e.worker),
        };
        self.down.insert(machine.to_owned(), down);
    }

    /// The platform refused the order or did not answer; it is given again soon.
    pub fn not_begun(&mut self, now_ms: u64, machine: &str, refused: bool) {
        if let Some(emptying) = self.emptying.get_mut(machine) {
            let doubtful = !refused || emptying.doubted;
            emptying.doubted = doubtful;
            emptying.begin = if doubtful { Begin::Doubtful } else { Begin::No };
            emptying.retry_ms = now_ms + RETRY_MS;
        }
    }

    /// What to do now.
    pub fn tick(&mut self, now_ms: u64, now_unix_ms: u64, world: &UpkeepWorld) -> Vec<UpkeepStep> {
        let (state, timing) = (world.state, world.timing);
        let known = Self::machines(state);
        let back_ms = timing.upkeep_ms + BACK_LATE_MS;
        self.down.retain(|machine, down| {
            let back = match known.get(machine) {
                Some(worker) => down.before.as_ref() != Some(*worker),
                // One that was off comes back without a worker.
                None => now_ms > down.since_ms + back_ms,
            };
            !back
        });
        self.emptying.retain(|machine, e| {
            let as_before = match &e.worker {
                Some(worker) => known.get(machine) == Some(&worker),
                None => !known.contains_key(machine),
            };
            e.begin != Begin::No || as_before
        });
        let mut steps = Vec::new();
        let mut budget = Budget::new(now_ms, world.fleet);
        for wave in state.waves().values().filter(|w| !w.is_completed()) {
            let room = self.room(now_unix_ms, wave, world);
            self.choose(now_ms, wave, room, &known, &budget, world);
            self.empty(now_ms, wave, world, &mut budget, &mut steps);
        }
        steps
    }

    /// How many more machines to take up now: as many at once as the time that is
    /// left asks for, so that the pools miss few of them at any moment.
    fn room(&self, now_unix_ms: u64, wave: &Wave, world: &UpkeepWorld) -> usize {
        let (timing, policy) = (world.timing, world.policy);
        let mine = self
            .emptying
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
        let takes_ms = timing.upkeep_ms + policy.patience_ms;
        let left = wave.due().count() as u64;
        let at_once = match left_ms.checked_div(takes_ms) {
            Some(rounds) if rounds > 0 => left.div_ceil(rounds) as usize + 1,
            _ => usize::MAX,
        };
        let most = at_once.min(2 * wave.down_max.max(1));
        most.saturating_sub(mine + down)
    }

    /// Takes up machines to empty. Those that are off cost nobody anything and go
    /// first; then those of pools with little to do.
    fn choose(
        &mut self,
        now_ms: u64,
        wave: &Wave,
        room: usize,
        known: &BTreeMap<&String, &InstanceName>,
        budget: &Budget,
        world: &UpkeepWorld,
    ) {
        if room == 0 {
            return;
        }
        let (state, fleet, off) = (world.state, world.fleet, world.off);
        let free = wave.due().filter(|m| !self.emptying.contains_key(*m));
        let mut free: Vec<(&String, Option<&InstanceName>)> = free
            .filter_map(|machine| match known.get(machine) {
                Some(worker) => {
                    let heard = fleet.link(worker).is_some_and(|l| l.is_heard(now_ms));
                    heard.then_some((machine, Some(*worker)))
                }
                None => off.contains(machine).then_some((machine, None)),
            })
            .collect();
        let use_of_pool = pool_use(state);
        // Each key is a walk over a worker's runs: it is worked out once.
        free.sort_by_cached_key(|(machine, worker)| match worker {
            Some(worker) => (
                1 + budget.obstacles(state, worker),
                state
                    .worker(worker)
                    .and_then(|w| use_of_pool.get(&w.report.pool).copied())
                    .unwrap_or(0),
                fleet.runs_on(state, worker).count(),
                *machine,
            ),
            None => (0, 0, 0, *machine),
        });
        for (machine, worker) in free.into_iter().take(room) {
            let emptying = Emptying {
                wave: wave.number,
                worker: worker.cloned(),
                since_ms: now_ms,
                begin: Begin::No,
                doubted: false,
                retry_ms: now_ms,
            };
            tracing::info!(
                wave = wave.number,
                machine,
                ?worker,
                "upkeep: emptying begins"
            );
            self.emptying.insert(machine.clone(), emptying);
        }
    }

    fn empty(
        &mut self,
        now_ms: u64,
        wave: &Wave,
        world: &UpkeepWorld,
        budget: &mut Budget,
        steps: &mut Vec<UpkeepStep>,
    ) {
        let (state, fleet, busy) = (world.state, world.fleet, world.busy);
        let down = wave
            .begun
            .iter()
            .filter(|m| self.down.contains_key(*m))
            .count();
        let begins = |e: &&Emptying| e.begin != Begin::No && e.wave == wave.number;
        let mut taken = down + self.emptying.values().filter(begins).count();
        for (machine, emptying) in &mut self.emptying {
            if emptying.wave != wave.number || emptying.begin == Begin::Asked {
                continue;
            }
            let patient = now_ms < emptying.since_ms + world.policy.patience_ms;
            let mut empty = emptying.worker.as_ref().is_none_or(|w| !busy.contains(w));
            let runs = emptying.worker.iter().flat_map(|w| fleet.runs_on(state, w));
            for (job, task, attempt) in runs {
                let Some(worker) = &emptying.worker else {
                    continue;
                };
                empty = false;
                let step = &job.spec.steps[usize::from(task.step)];
                let view = fleet.run(worker, task, attempt);
                let stopping = view.is_none_or(|v| v.is_stopping());
                let starting = view.is_some_and(|v| matches!(v.phase, RunPhase::Starting { .. }));
                if stopping || starting || (patient && !step.lasting) {
                    continue;
                }
                if budget.take(job, task) {
                    steps.push(UpkeepStep::Stop {
                        worker: worker.clone(),
                        task,
                        attempt,
                    });
                }
            }
            let doubtful = emptying.begin == Begin::Doubtful;
            let room = doubtful || taken < wave.down_max;
            if empty && room && now_ms >= emptying.retry_ms {
                emptying.begin = Begin::Asked;
                taken += usize::from(!doubtful);
                steps.push(UpkeepStep::Begin {
                    wave: wave.number,
                    machine: machine.clone(),
                    worker: emptying.worker.clone(),
                });
            }
        }
    }
}

/// How many tasks of each lasting step are away, and may be.
pub(super) struct Budget<'a> {
    now_ms: u64,
    fleet: &'a Fleet,
    /// Tasks that this pass takes away, by step (index 0).
    taken: BTreeMap<TaskId, usize>,
}

impl<'a> Budget<'a> {
    pub(super) fn new(now_ms: u64, fleet: &'a Fleet) -> Self {
        Self {
            now_ms,
            fleet,
            taken: BTreeMap::new(),
        }
    }

    /// Whether the task may be taken away by an order now; counts it if so.
    ///
    /// All causes count together: tasks that crashed, start up, are being stopped or
    /// were not listed lately are away as well. Else a stop on top of a crash takes
    /// more of a step away than its owner allowed.
    pub(super) fn take(&mut self, job: &Job, task: TaskId) -> bool {
        let step = &job.spec.steps[usize::from(task.step)];
        let (Some(max), true) = (step.disruption_budget, step.lasting) else {
            return true;
        };
        let key = TaskId { index: 0, ..task };
        let taken = self.taken.get(&key).copied().unwrap_or(0);
        let allowed = self.away(job, task) + taken < usize::from(max);
        if allowed {
            self.taken.insert(key, taken + 1);
        }
        allowed
    }

    /// The other tasks of the step that are not at work.
    fn away(&self, job: &Job, task: TaskId) -> usize {
        let Some(occurrence) = job.occurrence(task.occurrence) else {
            return 0;
        };
        let tasks = occurrence.step(usize::from(task.step)).iter().enumerate();
        tasks
            .filter(|(index, _)| *index != usize::from(task.index))
            .filter(|(index, other)| {
                let id = TaskId {
                    index: *index as u16,
                    ..task
                };
                !other.runs.iter().any(|run| {
                    let view = self.fleet.run(&run.worker, id, run.attempt);
                    view.is_some_and(|v| v.is_at_work(self.now_ms))
                })
            })
            .count()
    }

    /// Tasks on a worker that may not be taken away at present.
    fn obstacles(&self, state: &State, worker: &InstanceName) -> usize {
        self.fleet
            .runs_on(state, worker)
            .filter(|(job, task, _)| {
                let step = &job.spec.steps[usize::from(task.step)];
                let max = step.disruption_budget.map_or(usize::MAX, usize::from);
                step.lasting && self.away(job, *task) >= max
            })
            .count()
    }
}

/// Runs that wait or go on in each pool.
fn pool_use(state: &State) -> BTreeMap<PoolName, usize> {
    let mut uses: BTreeMap<PoolName, usize> = BTreeMap::new();
    for job in state.active().filter(|job| !job.spec.lasts()) {
        *uses.entry(job.pool.clone()).or_default() += 1;
    }
    uses
}

fn machines(state: &State) -> impl Iterator<Item = (&String, &InstanceName)> {
    state
        .workers()
        .iter()
        .filter(|(_, worker)| !worker.leaving)
        .filter_map(|(name, worker)| Some((worker.report.machine.as_ref()?, name)))
}
