//! Guards against accepted jobs that could run and are never considered again.

use std::sync::Arc;

use quickcheck::{QuickCheck, TestResult};
use rosemarygauge::control::{Answer, Call, State, Worker};
use rosemarygauge::jobs::{Job, JobId, JobSpec, Step};

use crate::world::{World, address, configuration, job, lasting, name, step};

/// Number of workers in a pool.
const WORKERS: u16 = 5;
/// Time after the last fault in which everything that can run has run. Leases, cooldowns of
/// workers and repeated orders take much less.
const SETTLE_MS: u64 = 30_000;
/// Number of random sequences, unless `FORGOTTEN_TRIES` sets another one.
const DEFAULT_TRIES: u64 = 30;

/// Returns a job of the kind that a random number selects. No worker can run any task of
/// some kinds.
fn spec_of(kind: u8) -> JobSpec {
    let second = Step {
        after: vec![0],
        ..step(2)
    };
    let single = |step: Step| job(vec![step]);
    match kind % 12 {
        0 => job(vec![step(3), second]),
        1 => single(Step {
            gang: true,
            ..step(20)
        }),
        2 => single(Step {
            gang: true,
            per_worker_max: Some(1),
            ..step(4)
        }),
        3 => single(Step {
            label: Some("a".into()),
            ..step(6)
        }),
        4 => single(Step {
            label: Some("nowhere".into()),
            ..step(2)
        }),
        5 => single(heavy(17_000)),
        6 => single(heavy(12_000)),
        7 => lasting(2),
        8 => single(Step {
            gang: true,
            ..step(500)
        }),
        9 => single(Step {
            per_worker_max: Some(2),
            ..step(30)
        }),
        10 => single(Step {
            copies: true,
            checkpoints: true,
            ..step(4)
        }),
        _ => single(step(12)),
    }
}

fn heavy(cpu_milli: u32) -> Step {
    let mut heavy = step(2);
    heavy.demand.cpu_milli = cpu_milli;
    heavy
}

/// A simulated world with a count of what was done to it.
struct Scenario {
    world: World,
    jobs: u64,
    version: u64,
    /// Number of long-running jobs. It is limited because they would leave no room for
    /// others.
    lasting: u32,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let world = match seed.is_multiple_of(2) {
            true => World::without_moves(seed, WORKERS, WORKERS - 1),
            false => World::carried(seed, WORKERS, WORKERS - 1),
        };
        Self {
            world,
            jobs: 0,
            version: 1,
            lasting: 0,
        }
    }

    fn submit(&mut self, kind: u8) {
        let spec = spec_of(kind);
        if spec.lasts() {
            self.lasting += 1;
            if self.lasting > 2 {
                return;
            }
        }
        self.jobs += 1;
        let queue = if kind.is_multiple_of(2) {
            "quick"
        } else {
            "long"
        };
        let place = 1 + usize::from(kind) % 3;
        self.world.submit(place, queue, self.jobs, spec);
    }

    /// Applies the event that a random number selects.
    fn apply_random_event(&mut self, random: u16) {
        let [what, which] = random.to_le_bytes();
        let port = 1_000 + u16::from(which) % WORKERS;
        let place = name(1 + usize::from(which) % 3);
        match what % 32 {
            0..20 => self.submit(which),
            20..22 => {
                let job = 1 + u64::from(which) % self.jobs.max(1);
                for queue in ["quick", "long"] {
                    self.world.cancel(1, queue, job);
                }
            }
            22 if self.world.workers.contains_key(&address(port)) => {
                self.world.crash_worker(port, 1_200);
            }
            23 => self.world.cut_worker(port),
            24 => self.world.cut.clear(),
            25 => {
                self.world.kill(&place);
                self.world.run_ms(700);
                self.world.restart(&place);
            }
            26 => {
                self.world.freeze(&place, true);
                self.world.run_ms(1_500);
                self.world.freeze(&place, false);
            }
            27 => self.world.late_per_mille = 100 * (u32::from(which) % 2),
            28 => self.reconfigure(),
            _ => self.world.run_ms(10 * u64::from(which)),
        }
        self.world.run_ms(5);
    }

    /// Sends a configuration in which the queues exchange their pools.
    fn reconfigure(&mut self) {
        self.version += 1;
        let mut changed = configuration(self.version);
        if self.version.is_multiple_of(2) {
            changed.queues[0].pool = "west".into();
            changed.queues[1].pool = "east".into();
        }
        self.world.call(1, Call::Configure(Arc::new(changed)));
    }

    /// Ends all faults and lets time pass.
    fn end_faults(&mut self) {
        self.world.cut.clear();
        self.world.late_per_mille = 0;
        self.world.run_ms(SETTLE_MS);
    }
}

/// Returns the steps with tasks that wait although an idle pool could run them, by a scan
/// of the complete state.
fn waiting_runnable_steps(state: &State) -> Vec<(JobId, usize)> {
    let mut steps = Vec::new();
    for job in state.active().filter(|job| job.verdict.is_none()) {
        for (_, occurrence) in job.occurrences() {
            for (step, spec) in job.spec.steps.iter().enumerate() {
                let waits = occurrence.step(step).iter().any(|task| task.is_waiting());
                if waits && occurrence.may_start(&job.spec, step) && could_run(state, job, spec) {
                    steps.push((job.id, step));
                }
            }
        }
    }
    steps
}

/// Returns whether the idle workers of a job's pool have room for a step: for all tasks of
/// a gang, otherwise for one task.
fn could_run(state: &State, job: &Job, step: &Step) -> bool {
    let workers = state.workers().values();
    let in_pool = workers.filter(|w| w.takes_work() && w.report.pool == job.pool);
    let slots: u32 = in_pool.map(|worker| task_slots(worker, step)).sum();
    slots >= if step.gang { u32::from(step.tasks) } else { 1 }
}

/// Returns the number of tasks of a step that fit on an idle worker, less a core for each
/// long-running job.
fn task_slots(worker: &Worker, step: &Step) -> u32 {
    let labels = &worker.report.labels;
    if step.label.as_ref().is_some_and(|l| !labels.contains(l)) {
        return 0;
    }
    let cores = worker.report.capacity.cpu_milli.saturating_sub(2_000);
    let per_worker_max = step.per_worker_max.map_or(u32::MAX, u32::from);
    (cores / step.demand.cpu_milli).min(per_worker_max)
}

/// Guards against an accepted job that never runs although workers are idle, because its
/// scheduling entry missed a change or every pass skips it. Jobs arrive, end, are cancelled
/// and move to other pools, and workers and leaders are lost. In the end nothing may wait
/// that an idle pool could run.
fn no_runnable_job_waits(seed: u64, events: Vec<u16>) -> TestResult {
    let mut scenario = Scenario::new(seed);
    for random in &events {
        scenario.apply_random_event(*random);
    }
    scenario.end_faults();
    let leader = scenario.world.leader();
    let Some(leader) = leader else {
        return TestResult::error(format!("seed {seed}: nobody leads: {events:?}"));
    };
    let answered = scenario.world.answers.values();
    let accepted = answered.filter(|a| **a == Answer::Done).count();
    match waiting_runnable_steps(scenario.world.state(&leader)) {
        steps if steps.is_empty() => TestResult::passed(),
        steps => TestResult::error(format!(
            "seed {seed}: {steps:?} of {accepted} jobs wait beside idle workers: {events:?}"
        )),
    }
}

#[test]
fn no_job_that_could_run_is_forgotten() {
    let tries = std::env::var("FORGOTTEN_TRIES").ok();
    let tries = tries
        .and_then(|tries| tries.parse().ok())
        .unwrap_or(DEFAULT_TRIES);
    QuickCheck::new()
        .tests(tries)
        .quickcheck(no_runnable_job_waits as fn(u64, Vec<u16>) -> TestResult);
}
