//! `measure lead`: what a leader's decisions cost by the size of the fleet.
//!
//! One control instance leads a fleet of fake workers in simulated time, with a disk
//! that syncs at once. Demand goes round four pools, as on the users' machines, with
//! so many starts a worker as theirs. Only the time spent in decisions is counted, so
//! what calls and disks cost comes on top. The machine may be busy: compare figures of
//! one run only.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::consensus::Recovered;
use crate::control::{
    Call, Configuration, Effect, Ended, Event, MachineOutcome, Node, NodeSettings, Order,
    OrderKind, OrderOutcome, Phase, Policy, Queue, Report, Running, Timing,
};
use crate::jobs::{Ending, JobId, JobSpec, Room, Step, TaskId};
use crate::model::{EntryName, InstanceName};

/// Sizes of the fleet: today's, the grown one, and a step towards the aim.
const SIZES: [u16; 3] = [49, 350, 1_000];
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
const TURN_PART: f64 = 0.75;
/// Time of a call to a worker and back.
const CALL_MS: u64 = 2;
/// How often a worker reports.
const REPORT_MS: u64 = 1_500;
/// With more than this the largest fleet would get more than a job a millisecond.
const LOAD_MAX: f64 = 10.0;
/// How often time is fed to the leader, as its process does.
const TICK_MS: u64 = 20;

/// Prints the table.
///
/// # Errors
/// None today; like the other measurements.
pub fn run(only: Option<u16>, load: f64) -> eyre::Result<()> {
    eyre::ensure!(
        (0.0..=LOAD_MAX).contains(&load),
        "--load is {load}: give a number from 0 to {LOAD_MAX}"
    );
    println!("workers  starts/s  done/s  active jobs  cores  largest ms  by event: cores");
    for size in SIZES {
        if only.is_none_or(|only| only == size) {
            let mut fleet = FleetRun::new(size, load);
            fleet.run_ms(WARM_MS);
            fleet.forget();
            fleet.run_ms(COUNTED_MS);
            fleet.print();
        }
    }
    Ok(())
}

/// What happens at a time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrives(u64),
    Ends(usize, TaskId, u32),
    Waited(usize, u64),
}

#[derive(Debug, Default)]
struct FakeWorker {
    running: BTreeMap<(TaskId, u32), u64>,
    ended: Vec<Ended>,
    next_end: u64,
    /// The renewal that waits for an end.
    waiting: Option<u64>,
}

#[derive(Debug, Default)]
struct Cost {
    calls: u64,
    spent: Duration,
    largest: Duration,
}

struct FleetRun {
    node: Node,
    now_ms: u64,
    size: u16,
    /// How many times the usual work is asked for.
    load: f64,
    rng: ChaCha8Rng,
    workers: Vec<FakeWorker>,
    due: BinaryHeap<Reverse<(u64, u64, Due)>>,
    events: BTreeMap<u64, Event>,
    drawn: u64,
    costs: BTreeMap<&'static str, Cost>,
    starts: u64,
    done: u64,
}

impl FleetRun {
    fn new(size: u16, load: f64) -> Self {
        let me = EntryName::from("10.0.0.1");
        let settings = NodeSettings {
            me: me.clone(),
            seeds: vec![me],
            first_start: true,
            losses_borne: 0,
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
        let mut run = Self {
            node: Node::new(settings, recovered, UNIX_MS, 0),
            now_ms: 0,
            size,
            load,
            rng: ChaCha8Rng::seed_from_u64(1),
            workers: (0..size).map(|_| FakeWorker::default()).collect(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            drawn: 0,
            costs: BTreeMap::new(),
            starts: 0,
            done: 0,
        };
        while !run.node.leads(run.now_ms) {
            run.step(0.0);
        }
        let call = Call::Configure(Arc::new(configuration()));
        run.feed("other call", Event::Call { id: 1, call });
        run
    }

    fn run_ms(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.step(self.load);
        }
    }

    fn step(&mut self, load: f64) {
        self.now_ms += 1;
        while let Some(Reverse((at_ms, ..))) = self.due.peek()
            && *at_ms <= self.now_ms
        {
            if let Some(Reverse((_, _, due))) = self.due.pop() {
                self.happen(due);
            }
        }
        for worker in 0..self.size {
            if (self.now_ms + u64::from(worker) * 7).is_multiple_of(REPORT_MS) || self.now_ms == 1 {
                let call = Call::Report(Arc::new(report(worker, self.now_ms)));
                self.feed("report", Event::Call { id: 0, call });
            }
        }
        for (rate, steps) in [(SHORT_RATE, short_job()), (LONG_RATE, long_job())] {
            if self
                .rng
                .random_bool((load * rate * f64::from(self.size) / 1_000.0).min(1.0))
            {
                self.submit(steps);
            }
        }
        if self.now_ms.is_multiple_of(TICK_MS) {
            self.feed("tick", Event::Tick);
        }
    }

    fn submit(&mut self, spec: JobSpec) {
        let turn = (self.now_ms / TURN_MS) as u16 % POOLS;
        let pool = if self.rng.random_bool(TURN_PART) {
            turn
        } else {
            self.rng.random_range(0..POOLS)
        };
        self.drawn += 1;
        let place = crate::control::Place {
            host: HOST.into(),
            path: format!("/{pool}/{}", JobId::from(self.drawn)),
        };
        let spec = Some(Arc::new(spec));
        let id = self.drawn;
        let call = Call::Submit { place, spec };
        self.feed("submission", Event::Call { id, call });
    }

    fn feed(&mut self, name: &'static str, event: Event) {
        let began = Instant::now();
        let effects = self.node.handle(self.now_ms, event);
        let took = began.elapsed();
        let cost = self.costs.entry(name).or_default();
        cost.calls += 1;
        cost.spent += took;
        cost.largest = cost.largest.max(took);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Persist { token, .. } => self.later(CALL_MS, Event::Persisted { token }),
            Effect::Order(order) => self.order(order),
            Effect::OrderMachine(order) => {
                let outcome = MachineOutcome::Overloaded;
                self.later(
                    CALL_MS,
                    Event::MachineOrdered {
                        id: order.id,
                        outcome,
                    },
                );
            }
            Effect::ListMachines => {
                self.later(CALL_MS, Event::MachinesListed { machines: None });
            }
            Effect::Advise { id, .. } => self.later(CALL_MS, Event::Advised { id, allowed: None }),
            Effect::Answer { .. }
            | Effect::Send { .. }
            | Effect::AbortOrders
            | Effect::Count(_)
            | Effect::Stopped => {}
        }
    }

    fn order(&mut self, order: Order) {
        let Some(at) = usize::from(order.address.port()).checked_sub(usize::from(FIRST_PORT))
        else {
            return;
        };
        let id = order.id;
        let done = OrderOutcome::Done {
            clock_ms: Some(self.now_ms),
        };
        match order.kind {
            OrderKind::Start { task, attempt, .. } => {
                self.starts += 1;
                self.workers[at]
                    .running
                    .insert((task, attempt), self.now_ms);
                let takes_ms = if task.step < 2 { 640 } else { 2_100 };
                self.schedule(takes_ms, Due::Ends(at, task, attempt));
                self.later(CALL_MS, Event::Ordered { id, outcome: done });
            }
            OrderKind::Renew {
                acknowledged,
                wait_ms,
                ..
            } => {
                let worker = &mut self.workers[at];
                worker.ended.retain(|end| end.number > acknowledged);
                if worker.ended.is_empty() && wait_ms > 0 {
                    worker.waiting = Some(id);
                    self.schedule(wait_ms, Due::Waited(at, id));
                } else {
                    self.list(at, id);
                }
            }
            OrderKind::Stop { task, attempt } => {
                self.end(at, task, attempt, Ending::Stopped);
                self.later(CALL_MS, Event::Ordered { id, outcome: done });
            }
            OrderKind::Throttle { .. } => {
                self.later(CALL_MS, Event::Ordered { id, outcome: done });
            }
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrives(number) => {
                if let Some(event) = self.events.remove(&number) {
                    let name = match &event {
                        Event::Persisted { .. } => "sync",
                        Event::Ordered {
                            outcome: OrderOutcome::Listed { .. },
                            ..
                        } => "listing",
                        Event::Ordered { .. } => "order done",
                        _ => "other",
                    };
                    self.feed(name, event);
                }
            }
            Due::Ends(at, task, attempt) => self.end(at, task, attempt, Ending::Done),
            Due::Waited(at, id) => {
                if self.workers[at].waiting == Some(id) {
                    self.workers[at].waiting = None;
                    self.list(at, id);
                }
            }
        }
    }

    fn end(&mut self, at: usize, task: TaskId, attempt: u32, ending: Ending) {
        let worker = &mut self.workers[at];
        if worker.running.remove(&(task, attempt)).is_none() {
            return;
        }
        self.done += u64::from(ending == Ending::Done);
        worker.next_end += 1;
        worker.ended.push(Ended {
            number: worker.next_end,
            task,
            attempt,
            ending,
            checkpoint: String::new(),
        });
        if let Some(id) = worker.waiting.take() {
            self.list(at, id);
        }
    }

    fn list(&mut self, at: usize, id: u64) {
        let now_ms = self.now_ms;
        let worker = &self.workers[at];
        let running = worker
            .running
            .iter()
            .map(|((task, attempt), began_ms)| Running {
                task: *task,
                attempt: *attempt,
                checkpoint: String::new(),
                percent: ((now_ms - began_ms) / 30) as u8,
                gauge: None,
            });
        let outcome = OrderOutcome::Listed {
            clock_ms: now_ms,
            running: running.collect(),
            ended: worker.ended.clone(),
        };
        self.later(CALL_MS, Event::Ordered { id, outcome });
    }

    fn later(&mut self, after_ms: u64, event: Event) {
        self.drawn += 1;
        self.events.insert(self.drawn, event);
        self.schedule(after_ms, Due::Arrives(self.drawn));
    }

    fn schedule(&mut self, after_ms: u64, due: Due) {
        self.drawn += 1;
        self.due
            .push(Reverse((self.now_ms + after_ms, self.drawn, due)));
    }

    fn forget(&mut self) {
        self.costs.clear();
        self.starts = 0;
        self.done = 0;
    }

    fn print(&self) {
        let per_s = |count: u64| count * 1_000 / COUNTED_MS;
        let cores = |spent: Duration| spent.as_secs_f64() * 1_000.0 / COUNTED_MS as f64;
        let all: Duration = self.costs.values().map(|c| c.spent).sum();
        let largest = self.costs.values().map(|c| c.largest).max();
        print!(
            "{:7}  {:8}  {:6}  {:11}  {:.3}  {:10.1} ",
            self.size,
            per_s(self.starts),
            per_s(self.done),
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
/// Workers are told apart by their ports.
const FIRST_PORT: u16 = 1_000;

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
        document: Vec::new(),
    }
}

fn report(worker: u16, now_ms: u64) -> Report {
    Report {
        worker: InstanceName::from(format!("i-{worker}")),
        machine: Some(format!("m-{worker}")),
        pool: format!("pool-{}", worker % POOLS).as_str().into(),
        address: SocketAddr::from(([10, 1, 0, 1], FIRST_PORT + worker)),
        zone: "a".into(),
        rack: Some("r1".into()),
        labels: vec!["a".into(), "r1".into()],
        capacity: Room {
            cpu_milli: 16_000,
            memory_mb: 64_000,
            accelerators: 0,
        },
        phase: Phase::Ready,
        sequence: now_ms,
    }
}

fn step(cpu_milli: u32, estimate_ms: u64, after: Vec<u16>) -> Step {
    Step {
        tasks: 8,
        demand: Room {
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

/// Its tasks are told from short ones by their steps' numbers.
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
