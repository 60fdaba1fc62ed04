//! Three control instances, fake workers and a fake keeper of machines in one thread.

mod deliveries;
mod processor;
mod samples;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::consensus::{Record, Recovered};
use rosemarygauge::control::{
    Answer, Call, Event, MachineOrder, Node, NodeSettings, Order, OrderOutcome, PeerMessage, Place,
    Policy, Timing, Wave,
};
use rosemarygauge::jobs::{JobId, JobSpec, JobState, TaskId};
use rosemarygauge::model::EntryName;

pub use processor::LOOK_US;
pub use samples::{configuration, job, lasting, queue, step};

use crate::worker::Worker;
use processor::Processor;

pub const STEP_MS: u64 = 5;
pub const TIMING: Timing = Timing {
    report_interval_ms: 1_500,
    lease_max_ms: 10_000,
    stop_timeout_ms: 400,
    remember_ms: 120_000,
    upkeep_ms: 2_000,
    grace_ms: 6_000,
    early_ms: 250,
    notice_ms: 4_500,
};

struct Control {
    node: Option<Node>,
    disk: Recovered,
    frozen: bool,
}

enum Flying {
    Peer {
        from: EntryName,
        to: EntryName,
        sent_ms: u64,
        message: Box<PeerMessage>,
    },
    Persisted {
        at: EntryName,
        start: u64,
        token: u64,
        records: Vec<Record>,
    },
    Order {
        from: EntryName,
        start: u64,
        order: Order,
    },
    Ordered {
        to: EntryName,
        start: u64,
        id: u64,
        outcome: OrderOutcome,
    },
    Machine {
        from: EntryName,
        start: u64,
        /// How often its sender had aborted its open orders by then.
        aborted: u64,
        order: MachineOrder,
    },
    Event {
        to: EntryName,
        start: u64,
        event: Event,
    },
}

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
    /// Orders in a thousand that get no answer and arrive late.
    pub late_per_mille: u32,
    pub answers: BTreeMap<u64, Answer>,
    next_call: u64,
    next_worker: u64,
    report_ms: u64,
    /// Every run by task: attempt, worker, began, ended and how.
    pub runs: Vec<Seen>,
    /// Runs whose end as done a leader took note of.
    pub done: u64,
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
    policy: Policy,
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

    /// The same, but that the instances have little processor time: a thing that their
    /// recurring looks walk over costs them so much. The leader calls its workers itself.
    pub fn limited(seed: u64, east: u16, west: u16, look_us: u64) -> Self {
        let mut world = Self::bare(seed);
        world.look_us = Some(look_us);
        world.policy.carriers.workers_each = usize::MAX;
        world.set_up(east, west)
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
            late_per_mille: 0,
            answers: BTreeMap::new(),
            next_call: 0,
            next_worker: 0,
            report_ms: 0,
            runs: Vec::new(),
            done: 0,
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
            policy: Policy::default(),
        }
    }

    fn found(&mut self, place: usize) {
        let incarnation = self.rng.random();
        let disk = Recovered {
            incarnation: Some(incarnation),
            ..Recovered::default()
        };
        self.start(&name(place), disk, true);
    }

    /// Starts an instance that is not there at the first start, with an empty folder.
    pub fn join(&mut self, place: usize) {
        let incarnation = self.rng.random();
        let disk = Recovered {
            incarnation: Some(incarnation),
            ..Recovered::default()
        };
        self.start(&name(place), disk, false);
    }

    fn start(&mut self, me: &EntryName, disk: Recovered, first_start: bool) {
        let settings = NodeSettings {
            me: me.clone(),
            seeds: (1..=3).map(name).collect(),
            first_start,
            losses_borne: 1,
            timing: TIMING,
            policy: self.policy.clone(),
            seed: self.rng.random(),
        };
        let unix_ms = 1_700_000_000_000 + self.now_ms;
        let node = Node::new(settings, disk.clone(), unix_ms, self.now_ms);
        *self.starts.entry(me.clone()).or_default() += 1;
        self.renew_processor(me);
        let control = Control {
            node: Some(node),
            disk,
            frozen: false,
        };
        self.controls.insert(me.clone(), control);
    }

    pub fn add_worker(&mut self, port: u16, pool: &str) {
        self.next_worker += 1;
        let worker = Worker::new(
            &format!("i-{}", self.next_worker),
            address(port),
            pool,
            self.now_ms,
        );
        self.workers.insert(address(port), worker);
        self.report_ms = self.now_ms;
    }

    pub fn worker(&mut self, port: u16) -> &mut Worker {
        self.workers.get_mut(&address(port)).unwrap()
    }

    /// The worker ends without a word; another incarnation comes after a while.
    pub fn crash_worker(&mut self, port: u16, for_ms: u64) {
        let worker = self.workers.remove(&address(port)).unwrap();
        let back = self.now_ms + for_ms;
        self.returning.push((back, worker.address, worker.pool));
    }

    /// A new machine comes after a while.
    pub fn come_later(&mut self, port: u16, pool: &str, after_ms: u64) {
        let at_ms = self.now_ms + after_ms;
        self.returning.push((at_ms, address(port), pool.to_owned()));
    }

    pub fn kill(&mut self, at: &EntryName) {
        self.controls.get_mut(at).unwrap().node = None;
    }

    pub fn restart(&mut self, at: &EntryName) {
        let disk = self.controls[at].disk.clone();
        self.start(at, disk, false);
    }

    /// It comes back with an empty folder.
    pub fn wipe(&mut self, at: &EntryName) {
        let incarnation = self.rng.random();
        let disk = Recovered {
            incarnation: Some(incarnation),
            ..Recovered::default()
        };
        self.start(at, disk, false);
    }

    pub fn freeze(&mut self, at: &EntryName, frozen: bool) {
        self.controls.get_mut(at).unwrap().frozen = frozen;
    }

    /// The voters as the instance's disk knows them.
    pub fn voters(&self, at: &EntryName) -> Vec<EntryName> {
        let disk = &self.controls[at].disk;
        let entries = disk.entries.iter().rev();
        let latest = entries.filter_map(|e| e.membership.as_ref()).next();
        let snapshot = || disk.snapshot.as_ref().map(|s| &s.membership);
        let voters = latest.or_else(snapshot).unwrap().iter();
        voters.map(|(name, _)| name.clone()).collect()
    }

    /// Whether a write of the instance is on its way to the disk.
    pub fn writes(&self, at: &EntryName) -> bool {
        let mut flying = self.flying.values();
        flying.any(|f| matches!(f, Flying::Persisted { at: by, .. } if by == at))
    }

    /// Cuts an instance off from the other instances, both ways.
    pub fn isolate(&mut self, at: &EntryName) {
        for other in self.controls.keys().filter(|n| *n != at) {
            self.cut.insert((at.to_string(), other.to_string()));
            self.cut.insert((other.to_string(), at.to_string()));
        }
    }

    /// Cuts two ends off from each other, both ways.
    pub fn cut_pair(&mut self, one: &str, other: &str) {
        self.cut.insert((one.to_owned(), other.to_owned()));
        self.cut.insert((other.to_owned(), one.to_owned()));
    }

    /// Messages from one instance to another wait, or go on.
    pub fn hold(&mut self, from: &EntryName, to: &EntryName, held: bool) {
        let pair = (from.to_string(), to.to_string());
        if held {
            self.held.insert(pair);
        } else {
            self.held.remove(&pair);
        }
    }

    /// The instances that do not lead, by their places.
    pub fn followers(&self) -> Vec<usize> {
        let leader = self.leader();
        (1..=3).filter(|p| Some(name(*p)) != leader).collect()
    }

    /// How often something was counted.
    pub fn counted(&self, decision: &str) -> u64 {
        self.decisions.get(decision).copied().unwrap_or(0)
    }

    /// How many orders to workers an instance sent.
    pub fn ordered_by(&self, at: &EntryName) -> u64 {
        self.ordered.get(at).copied().unwrap_or(0)
    }

    /// How often an instance aborted its open orders.
    pub fn aborted_by(&self, at: &EntryName) -> u64 {
        self.aborted.get(at).copied().unwrap_or(0)
    }

    /// Whether an instance's process is there.
    pub fn is_up(&self, at: &EntryName) -> bool {
        self.controls[at].node.is_some()
    }

    /// Cuts an instance off from the keeper of machines.
    pub fn cut_keeper(&mut self, at: &EntryName) {
        self.cut.insert((at.to_string(), KEEPER.to_owned()));
    }

    /// Orders on their way to the keeper of machines.
    pub fn machine_orders(&self) -> usize {
        let flying = self.flying.values();
        flying
            .filter(|f| matches!(f, Flying::Machine { .. }))
            .count()
    }

    /// Cuts a worker off from all instances, both ways.
    pub fn cut_worker(&mut self, port: u16) {
        for other in self.controls.keys() {
            self.cut
                .insert((other.to_string(), address(port).to_string()));
            self.cut
                .insert((address(port).to_string(), other.to_string()));
        }
    }

    pub fn leader(&self) -> Option<EntryName> {
        let mut leaders = self.controls.iter().filter(|(_, c)| {
            let node = c.node.as_ref().filter(|_| !c.frozen);
            node.is_some_and(|node| node.leads(self.now_ms))
        });
        leaders.next().map(|(name, _)| name.clone())
    }

    pub fn state(&self, at: &EntryName) -> &rosemarygauge::control::State {
        self.controls[at].node.as_ref().unwrap().state()
    }

    /// Hands in a call at an instance; its answer comes under the id.
    pub fn call(&mut self, place: usize, call: Call) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.feed(&name(place), Event::Call { id, call });
        id
    }

    pub fn place(queue: &str, job: u64) -> Place {
        Place {
            host: "h.example".into(),
            path: format!("/{queue}/{}", JobId::from(job)),
        }
    }

    pub fn submit(&mut self, at: usize, queue: &str, id: u64, spec: JobSpec) -> u64 {
        if spec.lasts() {
            for worker in self.workers.values_mut() {
                worker.lasting_jobs.insert(JobId::from(id));
            }
        }
        let call = Call::Submit {
            place: Self::place(queue, id),
            spec: Some(Arc::new(spec)),
        };
        self.call(at, call)
    }

    pub fn cancel(&mut self, at: usize, queue: &str, id: u64) -> u64 {
        let place = Self::place(queue, id);
        self.call(at, Call::Cancel { place })
    }

    /// How far a job is, asked at an instance; none without a clear answer.
    pub fn look(&mut self, at: usize, queue: &str, id: u64) -> Option<JobState> {
        let place = Self::place(queue, id);
        let call = self.call(at, Call::Look { place });
        self.run_ms(1_200);
        match self.answers.get(&call) {
            Some(Answer::Job(state)) => Some(*state),
            _ => None,
        }
    }

    pub fn start_wave(&mut self, at: usize, machines: &[&str], down_max: usize) -> u64 {
        let wave = Wave {
            number: 1,
            machines: machines.iter().map(|m| (*m).to_owned()).collect(),
            duration_ms: 20_000,
            down_max,
            accepted_unix_ms: 0,
            begun: BTreeSet::new(),
            asked: BTreeMap::new(),
        };
        self.call(at, Call::StartWave(wave))
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

    fn bring_back(&mut self) {
        let now_ms = self.now_ms;
        let (back, still): (Vec<_>, Vec<_>) =
            self.returning.drain(..).partition(|(at, ..)| now_ms >= *at);
        self.returning = still;
        for (_, address, pool) in back {
            self.add_worker(address.port(), &pool);
            let jobs = self
                .workers
                .values()
                .flat_map(|w| w.lasting_jobs.clone())
                .collect();
            self.workers.get_mut(&address).unwrap().lasting_jobs = jobs;
        }
    }

    fn report_all(&mut self) {
        let mut reports = Vec::new();
        for worker in self.workers.values_mut() {
            reports.push((worker.address, worker.report()));
        }
        for (address, report) in reports {
            let to = (1..=3).map(name).find(|to| {
                let up = self
                    .controls
                    .get(to)
                    .is_some_and(|c| c.node.is_some() && !c.frozen);
                up && !self.is_cut(&address.to_string(), to.as_str())
            });
            if let Some(to) = to {
                self.next_call += 1;
                let id = self.next_call;
                let call = Call::Report(Arc::new(report));
                self.feed(&to, Event::Call { id, call });
            }
        }
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.cut.contains(&(from.to_owned(), to.to_owned()))
    }
}
