//! `measure lead`: what a leader's decisions cost by the size of the fleet.
//!
//! One control instance leads a fleet of fake workers in simulated time, with a disk
//! that syncs at once. Demand goes round four pools, as on the users' machines, with
//! so many starts a worker as theirs. Only the time spent in decisions is counted, so
//! what calls and disks cost comes on top. The machine may be busy: compare figures of
//! one run only.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::consensus::Recovered;
use crate::control::{
    Call, Configuration, Event, Location, Node, NodeSettings, OrderOutcome, Place, Policy, Queue,
    Timing, Tolerance,
};
use crate::jobs::{JobId, JobSpec, Resources, Step};
use crate::lab::{Emulator, FakeMachine, Keeper, TaskTruth};
use crate::model::EntryName;

/// Sizes of the fleet: small and grown deployments, the whole fleet, twice as many, and the aim.
const SIZES: [u16; 6] = [49, 350, 1_000, 6_000, 12_000, 21_000];
/// Pools that get work; one more is in standby.
const POOLS: u16 = 4;
/// Simulated time before counting starts, and of counting: two rounds of turns.
const WARM_MS: u64 = 4_000;
const COUNTED_MS: u64 = 16_000;
/// How long one pool has most of the work.
const TURN_MS: u64 = 2_000;
/// Short and long jobs a second for each worker, as where the fleet has grown.
const SHORT_RATE: f64 = 0.233;
const LONG_RATE: f64 = 0.029;
/// The part of all work that goes to the pool whose turn it is.
const TURN_SHARE: f64 = 0.75;
/// How long a task of a short step and of a long one runs, and for a percent.
const SHORT_MS: u64 = 640;
const LONG_MS: u64 = 2_100;
const PERCENT_MS: u64 = 30;
/// With more than this the largest fleet would get more than a job a millisecond.
const LOAD_MAX: f64 = 10.0;
/// How often time is fed to the leader, as its process does.
const TICK_MS: u64 = 20;

/// Prints the table.
///
/// # Errors
/// A load out of its range, or a promise that was broken.
pub fn run(only: Option<u16>, load: f64) -> eyre::Result<()> {
    eyre::ensure!(
        (0.0..=LOAD_MAX).contains(&load),
        "--load is {load}: give a number from 0 to {LOAD_MAX}"
    );
    println!("workers  starts/s  done/s  active jobs  cores  largest ms  by event: cores");
    for size in SIZES {
        if only.is_none_or(|only| only == size) {
            let mut fleet = FleetRun::new(size, load)?;
            fleet.run_ms(WARM_MS)?;
            fleet.forget();
            fleet.run_ms(COUNTED_MS)?;
            fleet.print();
        }
    }
    Ok(())
}

#[derive(Debug, Default)]
struct Cost {
    calls: u64,
    spent: Duration,
    largest: Duration,
}

struct FleetRun {
    node: Node,
    emulator: Emulator,
    size: u16,
    /// How many times the usual work is asked for.
    load: f64,
    rng: ChaCha8Rng,
    costs: BTreeMap<&'static str, Cost>,
}

impl FleetRun {
    fn new(size: u16, load: f64) -> eyre::Result<Self> {
        let me = EntryName::from("10.0.0.1");
        let settings = NodeSettings {
            me: me.clone(),
            seeds: vec![me],
            first_start: true,
            location: Location {
                region: None,
                zone: "a".into(),
            },
            tolerance: Tolerance::default(),
            machine_orders_per_s: 600.0,
            timing: Timing {
                lease_max_ms: 10_000,
                stop_timeout_ms: 400,
                remember_ms: 120_000,
                upkeep_ms: 2_000,
                ..Timing::default()
            },
            policy: Policy::default(),
            seed: 1,
        };
        let recovered = Recovered {
            incarnation: Some(1),
            ..Recovered::default()
        };
        let machines = (0..size).map(machine).collect();
        let mut run = Self {
            node: Node::new(settings, recovered, UNIX_MS, 0),
            emulator: Emulator::new(machines, Keeper::Refuses),
            size,
            load,
            rng: ChaCha8Rng::seed_from_u64(1),
            costs: BTreeMap::new(),
        };
        while !run.node.leads(run.emulator.now_ms()) {
            run.step(0.0)?;
        }
        let call = Call::Configure(Arc::new(configuration()));
        run.feed("other call", Event::Call { id: 1, call })?;
        Ok(run)
    }

    fn run_ms(&mut self, for_ms: u64) -> eyre::Result<()> {
        let until_ms = self.emulator.now_ms() + for_ms;
        while self.emulator.now_ms() < until_ms {
            self.step(self.load)?;
        }
        Ok(())
    }

    fn step(&mut self, load: f64) -> eyre::Result<()> {
        self.emulator.advance();
        while let Some(event) = self.emulator.next_event() {
            self.feed(kind(&event), event)?;
        }
        for (rate, spec) in [(SHORT_RATE, short_job()), (LONG_RATE, long_job())] {
            if self
                .rng
                .random_bool((load * rate * f64::from(self.size) / 1_000.0).min(1.0))
            {
                self.submit(spec)?;
            }
        }
        if self.emulator.now_ms().is_multiple_of(TICK_MS) {
            self.feed("tick", Event::Tick)?;
        }
        Ok(())
    }

    fn submit(&mut self, spec: JobSpec) -> eyre::Result<()> {
        let turn = (self.emulator.now_ms() / TURN_MS) as u16 % POOLS;
        let pool = if self.rng.random_bool(TURN_SHARE) {
            turn
        } else {
            self.rng.random_range(0..POOLS)
        };
        let number = self.emulator.draw();
        let place = Place {
            host: HOST.into(),
            path: format!("/{pool}/{}", JobId::from(number)),
        };
        let truths = truths(&spec);
        let event = self.emulator.hand_in(number, place, Arc::new(spec), truths);
        self.feed("submission", event)
    }

    fn feed(&mut self, name: &'static str, event: Event) -> eyre::Result<()> {
        let began = Instant::now();
        let effects = self.node.handle(self.emulator.now_ms(), event);
        let took = began.elapsed();
        let cost = self.costs.entry(name).or_default();
        cost.calls += 1;
        cost.spent += took;
        cost.largest = cost.largest.max(took);
        for effect in effects {
            self.emulator.carry_out(effect)?;
        }
        Ok(())
    }

    fn forget(&mut self) {
        self.costs.clear();
        self.emulator.ledger_mut().forget_counts();
    }

    fn print(&self) {
        let counts = self.emulator.counts();
        let per_s = |count: u64| count * 1_000 / COUNTED_MS;
        let cores = |spent: Duration| spent.as_secs_f64() * 1_000.0 / COUNTED_MS as f64;
        let all: Duration = self.costs.values().map(|c| c.spent).sum();
        let largest = self.costs.values().map(|c| c.largest).max();
        print!(
            "{:7}  {:8}  {:6}  {:11}  {:.3}  {:10.1} ",
            self.size,
            per_s(counts.starts),
            per_s(counts.done),
            self.node.state().active().count(),
            cores(all),
            largest.unwrap_or_default().as_secs_f64() * 1_000.0,
        );
        for (name, cost) in &self.costs {
            print!(" {name} {:.3} ({}/s)", cores(cost.spent), per_s(cost.calls));
        }
        println!();
    }
}

/// Any time of day does.
const UNIX_MS: u64 = 1_700_000_000_000;
const HOST: &str = "h.example";

fn configuration() -> Configuration {
    let queue = |pool: u16| Queue {
        name: pool.to_string(),
        host: HOST.into(),
        path_prefix: format!("/{pool}/"),
        pool: format!("pool-{pool}").as_str().into(),
        priority: 0,
        attempts_max: 3,
        slack_factor: 1.6,
        target_latency_ms: 600,
        timeout_ms: 3_000,
        advice: None,
    };
    let mut pools: BTreeMap<_, _> = (0..POOLS)
        .map(|pool| (format!("pool-{pool}").as_str().into(), false))
        .collect();
    pools.insert("spare".into(), true);
    Configuration {
        version: 1,
        queues: (0..POOLS).map(queue).collect(),
        pools,
        document: Default::default(),
        access: None,
    }
}

/// What the cost of an event counts as.
fn kind(event: &Event) -> &'static str {
    match event {
        Event::Call { .. } => "report",
        Event::Persisted { .. } => "sync",
        Event::Ordered {
            outcome: OrderOutcome::Listed { .. },
            ..
        } => "listing",
        Event::Ordered { .. } => "order done",
        _ => "other",
    }
}

fn machine(place: u16) -> FakeMachine {
    let room = Resources {
        cpu_milli: 16_000,
        memory_mb: 64_000,
        accelerators: 0,
    };
    let pool = format!("pool-{}", place % POOLS);
    FakeMachine::off(place, pool.as_str().into(), "a".into(), "r1".into(), room)
}

/// Tasks of long jobs are told from short ones by their steps' numbers.
fn truths(spec: &JobSpec) -> Vec<Vec<TaskTruth>> {
    let steps = spec.steps.iter().enumerate();
    steps
        .map(|(place, step)| {
            let truth = TaskTruth {
                run_ms: if place < 2 { SHORT_MS } else { LONG_MS },
                percent_ms: PERCENT_MS,
                failures: 0,
            };
            vec![truth; usize::from(step.tasks)]
        })
        .collect()
}

fn step(cpu_milli: u32, estimate_ms: u64, after: Vec<u16>) -> Step {
    Step {
        tasks: 8,
        demand: Resources {
            cpu_milli,
            memory_mb: 500,
            accelerators: 0,
        },
        estimate_ms,
        after,
        ..Step::default()
    }
}

fn short_job() -> JobSpec {
    JobSpec {
        payload: "work".into(),
        steps: vec![step(1_500, 640, Vec::new()), step(1_500, 640, vec![0])],
        recurrence: None,
    }
}

fn long_job() -> JobSpec {
    let mut long = short_job();
    long.steps = vec![
        step(1, 1, Vec::new()),
        step(1, 1, vec![0]),
        step(3_300, 2_100, vec![1]),
        step(3_300, 2_100, vec![2]),
    ];
    long
}
