//! Three control instances, fake workers and a fake keeper of machines in one thread.
//!
//! Time moves on in steps, and what is on its way arrives in the order of its times. The
//! modules hold what may happen to a world and what is read off it.

mod advisor;
mod calls;
mod cuts;
mod deliveries;
mod flying;
mod instances;
mod machines;
mod processor;
mod readings;
mod samples;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rosemarygauge::control::{Answer, Call, Event, Policy, Timing};
use rosemarygauge::jobs::{JobId, TaskId};
use rosemarygauge::model::EntryName;

pub use processor::LOOK_US;
pub use samples::{configuration, job, lasting, queue, step};

use crate::worker::Worker;
use advisor::Advisor;
use flying::Flying;
use instances::Control;
use processor::Processor;

pub const STEP_MS: u64 = 5;
pub const TIMING: Timing = Timing {
    report_interval_ms: 1_500,
    lease_max_ms: 10_000,
    stop_timeout_ms: 400,
    restore_ms: 100,
    remember_ms: 120_000,
    upkeep_ms: 2_000,
    grace_ms: 6_000,
    early_ms: 250,
    notice_ms: 4_500,
};

pub struct World {
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    controls: BTreeMap<EntryName, Control>,
    starts: BTreeMap<EntryName, u64>,
    pub workers: BTreeMap<SocketAddr, Worker>,
    /// Machines that are down until a time, to come back as another incarnation.
    returning: Vec<(u64, SocketAddr, String)>,
    flying: BTreeMap<(u64, u64), Flying>,
    sent: u64,
    /// Pairs of names that cannot reach each other, one way.
    pub cut: BTreeSet<(String, String)>,
    /// Pairs of instances whose messages wait until the pair is taken out, one way.
    pub held: BTreeSet<(String, String)>,
    /// How many orders to workers each instance sent.
    pub ordered: BTreeMap<EntryName, u64>,
    /// What was counted, by its name.
    pub decisions: BTreeMap<String, u64>,
    /// Workers to which no short order gets its turn.
    pub crowded: BTreeSet<SocketAddr>,
    /// Workers to which no start gets through, while everything else does.
    pub startless: BTreeSet<SocketAddr>,
    /// Orders in a thousand that get no answer and arrive late.
    pub late_per_mille: u32,
    /// How long a write takes to be synced; it may only grow, so that writes keep their order.
    pub sync_ms: u64,
    pub answers: BTreeMap<u64, Answer>,
    /// The leaders that entry instances were told of.
    welcomed: BTreeMap<EntryName, Vec<EntryName>>,
    next_call: u64,
    next_worker: u64,
    report_ms: u64,
    /// Every run by task: attempt, worker, began, ended and how.
    pub runs: Vec<Seen>,
    /// Runs whose end as done a leader took note of.
    pub done: u64,
    /// When a run of a task was done whose end is acknowledged.
    done_ms: BTreeMap<TaskId, u64>,
    pub upkeeps: Vec<(u64, String)>,
    pub moves: Vec<(u64, String, String)>,
    pub down_most: usize,
    /// When a cancellation was acknowledged.
    pub cancelled_ms: BTreeMap<JobId, u64>,
    pub copies: bool,
    /// The highest fencing token that was seen for each machine.
    pub fences: BTreeMap<String, u64>,
    /// How often each instance aborted its open orders.
    aborted: BTreeMap<EntryName, u64>,
    /// The processors of instances that have little of one; the others take no time.
    processors: BTreeMap<EntryName, Processor>,
    /// What a look at a thing costs them.
    look_us: Option<u64>,
    /// How long the instance that is at work still works on what it now sends.
    work_left_ms: u64,
    pub advisor: Advisor,
    policy: Policy,
    /// Orders that the keeper of machines accepts in a second.
    machine_orders_per_s: f64,
    /// Memory that jobs may take at each instance, in bytes.
    job_limit_bytes: usize,
}

/// The keeper of machines as an end of a cut.
pub const KEEPER: &str = "keeper";

#[derive(Clone, Debug)]
pub struct Seen {
    pub task: TaskId,
    pub worker: String,
    pub began_ms: u64,
}

pub fn name(place: usize) -> EntryName {
    EntryName::from(format!("10.0.0.{place}"))
}

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], port))
}

impl World {
    /// Three control instances with empty folders and so many workers in each pool.
    pub fn new(seed: u64, east: u16, west: u16) -> Self {
        Self::bare(seed).set_up(east, west)
    }

    /// The same, with followers that carry out all orders to workers.
    pub fn carried(seed: u64, east: u16, west: u16) -> Self {
        let mut world = Self::bare(seed);
        world.policy.carriers.workers_each = 1;
        world.set_up(east, west)
    }

    /// One where the leader calls its workers itself, and one where followers do.
    pub fn both(seed: u64, east: u16, west: u16) -> [Self; 2] {
        [Self::new(seed, east, west), Self::carried(seed, east, west)]
    }

    /// The same, but that no machine moves to another pool or goes off.
    pub fn without_moves(seed: u64, east: u16, west: u16) -> Self {
        let mut world = Self::bare(seed);
        world.policy.moves.enabled = false;
        world.policy.standby.enabled = false;
        world.set_up(east, west)
    }

    /// The same, with leases of this length.
    pub fn without_moves_and_with_lease(seed: u64, east: u16, west: u16, lease_ms: u64) -> Self {
        let mut world = Self::bare(seed);
        world.policy.moves.enabled = false;
        world.policy.standby.enabled = false;
        world.policy.runs.lease_ms = lease_ms;
        world.set_up(east, west)
    }

    /// The same, but that the instances have little processor time: a thing that their
    /// recurring looks walk over costs them so much. The leader calls its workers itself.
    pub fn limited(seed: u64, east: u16, west: u16, look_us: u64) -> Self {
        let mut world = Self::bare(seed);
        world.look_us = Some(look_us);
        world.policy.carriers.workers_each = usize::MAX;
        world.set_up(east, west)
    }

    /// The same, but that machines go off soon and the keeper of machines accepts few orders.
    pub fn with_slow_keeper(seed: u64, east: u16, west: u16, orders_per_s: f64) -> Self {
        let mut world = Self::bare(seed);
        world.policy.standby.watch_ms = 1_000;
        world.policy.standby.surplus_ms = 1_000;
        world.machine_orders_per_s = orders_per_s;
        world.set_up(east, west)
    }

    /// The same, but that jobs may take only so much memory.
    pub fn with_job_limit(seed: u64, east: u16, west: u16, job_limit_bytes: usize) -> Self {
        let mut world = Self::bare(seed);
        world.job_limit_bytes = job_limit_bytes;
        world.set_up(east, west)
    }

    /// The same, but that the keeper of machines takes one order a second until
    /// [`Self::accept_machine_orders`].
    pub fn with_held_up_moves(seed: u64, east: u16, west: u16) -> Self {
        let mut world = Self::bare(seed);
        world.machine_orders_per_s = 0.0;
        world.set_up(east, west)
    }

    /// The instances start again and learn that the keeper of machines takes more orders.
    pub fn accept_machine_orders(&mut self) {
        self.machine_orders_per_s = 600.0;
        (1..=3).map(name).for_each(|at| self.kill(&at));
        (1..=3).map(name).for_each(|at| self.restart(&at));
    }

    fn set_up(mut self, east: u16, west: u16) -> Self {
        for place in 1..=3 {
            self.found(place);
        }
        for port in 0..east {
            self.add_worker(1_000 + port, "east");
        }
        for port in 0..west {
            self.add_worker(2_000 + port, "west");
        }
        self.run_ms(4_000);
        let id = self.call(1, Call::Configure(Arc::new(configuration(1))));
        self.run_ms(3_000);
        assert_eq!(self.answers.get(&id), Some(&Answer::Done));
        self
    }

    fn bare(seed: u64) -> Self {
        Self {
            now_ms: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            controls: BTreeMap::new(),
            starts: BTreeMap::new(),
            workers: BTreeMap::new(),
            returning: Vec::new(),
            flying: BTreeMap::new(),
            sent: 0,
            cut: BTreeSet::new(),
            held: BTreeSet::new(),
            ordered: BTreeMap::new(),
            decisions: BTreeMap::new(),
            crowded: BTreeSet::new(),
            startless: BTreeSet::new(),
            late_per_mille: 0,
            sync_ms: 5,
            answers: BTreeMap::new(),
            welcomed: BTreeMap::new(),
            next_call: 0,
            next_worker: 0,
            report_ms: 0,
            runs: Vec::new(),
            done: 0,
            done_ms: BTreeMap::new(),
            upkeeps: Vec::new(),
            moves: Vec::new(),
            down_most: 0,
            cancelled_ms: BTreeMap::new(),
            copies: false,
            fences: BTreeMap::new(),
            aborted: BTreeMap::new(),
            processors: BTreeMap::new(),
            look_us: None,
            work_left_ms: 0,
            advisor: Advisor::default(),
            policy: Policy::default(),
            machine_orders_per_s: 600.0,
            job_limit_bytes: usize::MAX,
        }
    }

    pub fn run_ms(&mut self, for_ms: u64) {
        let until = self.now_ms + for_ms;
        while self.now_ms < until {
            self.now_ms += STEP_MS;
            self.step();
        }
    }

    /// Runs until the condition holds, `limit_ms` at most; whether it does.
    pub fn until(&mut self, limit_ms: u64, cond: impl Fn(&Self) -> bool) -> bool {
        let end = self.now_ms + limit_ms;
        while !cond(self) && self.now_ms < end {
            self.run_ms(STEP_MS);
        }
        cond(self)
    }

    fn step(&mut self) {
        while let Some(entry) = self.flying.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let flying = entry.remove();
            self.arrive(flying);
        }
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut() {
            worker.tick(now_ms);
        }
        self.bring_back();
        if now_ms >= self.report_ms {
            self.report_ms = now_ms + 500;
            self.report_all();
        }
        if now_ms.is_multiple_of(20) {
            for at in self.controls.keys().cloned().collect::<Vec<_>>() {
                self.feed(&at, Event::Tick);
            }
        }
        self.work();
    }
}
