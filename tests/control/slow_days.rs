//! Random scenarios, by seed, in which everything may be delayed: log syncs, messages, orders
//! to workers and their answers. Workers crash and return; instances freeze or are
//! partitioned. At every start and acknowledgement the world checks that no task runs twice,
//! neither at the same time nor after its completion was acknowledged.

use rand::Rng;
use rosemarygauge::jobs::Step;

use crate::world::{World, address, job, lasting, name, step};

/// Mean pause between two events.
const PAUSE_MS: u64 = 150;
/// Events of a scenario.
const EVENTS: usize = 80;
/// Slowest sync with which a leader still hears from its voters in time.
const MAX_SYNC_MS: u64 = 140;
/// Kinds of events without zone partitions and waves, and with them.
const KINDS: u32 = 14;
const ZONE_KINDS: u32 = 16;
/// Workers of the pool in which tasks run, from port 1,000 on.
const EAST_WORKERS: u16 = 5;

/// A scenario in progress.
struct Scenario {
    world: World,
    next: u64,
    /// Number of kinds of events that may occur.
    kinds: u32,
    /// Faults to end, each with its time.
    undo: Vec<(u64, Undo)>,
}

/// The end of a fault that lasts a while.
#[derive(Clone, Debug)]
enum Undo {
    /// Messages from the first end to the second arrive again.
    Cut(String, String),
    /// Held messages from one instance to another are delivered.
    Hold(usize, usize),
    Thaw(usize),
    Restart(usize),
    Late,
}

impl Scenario {
    fn new(mut world: World, kinds: u32) -> Self {
        for worker in world.workers.values_mut() {
            worker.clock_rate = 980 + u64::from(worker.address.port()) % 3 * 10;
        }
        Self {
            world,
            next: 1,
            kinds,
            undo: Vec::new(),
        }
    }

    fn schedule(&mut self, within_ms: std::ops::Range<u64>, undo: Undo) {
        let at_ms = self.world.now_ms + self.world.rng.random_range(within_ms);
        self.undo.push((at_ms, undo));
    }

    fn end_due_faults(&mut self, all: bool) {
        let now_ms = self.world.now_ms;
        let (due, rest): (Vec<_>, Vec<_>) = self
            .undo
            .drain(..)
            .partition(|(at_ms, _)| all || now_ms >= *at_ms);
        self.undo = rest;
        for (_, undo) in due {
            match undo {
                Undo::Cut(from, to) => {
                    self.world.cut.remove(&(from, to));
                }
                Undo::Hold(from, to) => self.world.hold(&name(from), &name(to), false),
                Undo::Thaw(place) => self.world.freeze(&name(place), false),
                Undo::Restart(place) => self.world.restart(&name(place)),
                Undo::Late => self.world.late_per_mille = 0,
            }
        }
    }

    fn submit(&mut self) {
        let id = self.next;
        self.next += 1;
        let second = Step {
            after: vec![0],
            ..step(2)
        };
        let spec = match id % 12 {
            0 if id < 40 => lasting(3),
            1..4 => job(vec![step(3), second]),
            _ => job(vec![step(4)]),
        };
        let at = self.world.rng.random_range(1..=3);
        self.world.submit(at, "quick", id, spec);
    }

    /// Submits jobs to a pool without workers; changes after them become durable late.
    fn submit_many(&mut self) {
        let Some(leader) = self.world.leader() else {
            return;
        };
        let place = (1..=3).find(|place| name(*place) == leader).unwrap();
        for _ in 0..self.world.rng.random_range(1_000..4_000) {
            let id = 1_000_000 + self.next;
            self.next += 1;
            self.world.submit(place, "long", id, job(vec![step(1)]));
        }
    }

    fn cut(&mut self, from: String, to: String) {
        self.world.cut.insert((from.clone(), to.clone()));
        self.schedule(300..8_000, Undo::Cut(from, to));
    }

    /// Partitions an instance and two workers from the others.
    fn cut_zone(&mut self, place: usize, port: u16) {
        let next = 1_000 + (port + 1) % EAST_WORKERS;
        let inside = [
            name(place).to_string(),
            address(port).to_string(),
            address(next).to_string(),
        ];
        let until_ms = self.world.now_ms + self.world.rng.random_range(1_000..9_000);
        for outside in (1..=3).filter(|other| *other != place) {
            for end in &inside {
                let outside = name(outside).to_string();
                for (from, to) in [(end.clone(), outside.clone()), (outside, end.clone())] {
                    self.world.cut.insert((from.clone(), to.clone()));
                    self.undo.push((until_ms, Undo::Cut(from, to)));
                }
            }
        }
    }

    fn inject_event(&mut self) {
        let place = self.world.rng.random_range(1..=3_usize);
        let other = 1 + place % 3;
        let port = 1_000 + self.world.rng.random_range(0..EAST_WORKERS);
        let kind: u32 = self.world.rng.random_range(0..self.kinds);
        let worker = address(port).to_string();
        let ready = self.world.is_up(&name(place)) && self.undo.len() < 8;
        match kind {
            0 => self.submit_many(),
            1 => {
                let slower_ms = self.world.sync_ms + 45;
                self.world.sync_ms = slower_ms.min(MAX_SYNC_MS);
            }
            // A worker's answers, or the orders to it, are lost.
            2 | 3 => (1..=3).for_each(|at| self.cut(worker.clone(), name(at).to_string())),
            4 => (1..=3).for_each(|at| self.cut(name(at).to_string(), worker.clone())),
            5 => {
                for at in 1..=3 {
                    self.cut(name(at).to_string(), worker.clone());
                    self.cut(worker.clone(), name(at).to_string());
                }
            }
            6 => self.cut(name(place).to_string(), worker),
            7 if self.world.workers.contains_key(&address(port)) => {
                self.world.crash_worker(port, 1_200);
            }
            8 => {
                self.world.late_per_mille = 60;
                self.schedule(500..5_000, Undo::Late);
            }
            9 if ready => {
                self.world.hold(&name(place), &name(other), true);
                self.schedule(50..2_500, Undo::Hold(place, other));
            }
            10 if ready => {
                self.world.freeze(&name(place), true);
                self.schedule(300..3_000, Undo::Thaw(place));
            }
            11 if ready => {
                self.world.kill(&name(place));
                self.schedule(500..3_000, Undo::Restart(place));
            }
            12 if ready => {
                self.cut(name(place).to_string(), name(other).to_string());
                self.cut(name(other).to_string(), name(place).to_string());
            }
            14 if ready => self.cut_zone(place, port),
            15 => {
                let machines = (0..EAST_WORKERS).map(|port| format!("m-{}", 1_000 + port));
                let machines: Vec<String> = machines.collect();
                let machines: Vec<&str> = machines.iter().map(String::as_str).collect();
                self.world.start_wave(place, &machines, 1);
            }
            _ => {}
        }
    }

    fn play(mut self, seed: u64) {
        // The test runner prints this only for a failed test.
        println!("seed {seed}");
        for _ in 0..EVENTS {
            self.submit();
            self.inject_event();
            let pause_ms = self.world.rng.random_range(5..2 * PAUSE_MS);
            self.world.run_ms(pause_ms);
            self.end_due_faults(false);
        }
        self.end_due_faults(true);
        self.world.run_ms(12_000);
    }
}

/// Returns the seeds from the environment, as `SLOW_SEEDS=FIRST..LAST`, or the default ones.
fn seeds(default_seeds: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SLOW_SEEDS") else {
        return default_seeds;
    };
    let (first, last) = text.split_once("..").expect("SLOW_SEEDS is FIRST..LAST");
    first.parse().unwrap()..last.parse().unwrap()
}

fn play(default_seeds: std::ops::Range<u64>, kinds: u32) {
    for seed in seeds(default_seeds) {
        for world in World::both(seed, EAST_WORKERS, 0) {
            Scenario::new(world, kinds).play(seed);
        }
    }
}

#[test]
fn no_task_runs_twice_when_everything_is_delayed() {
    play(3_109..3_110, KINDS);
}

/// As above, with partitions of an instance together with workers, and with upkeeps.
#[test]
fn no_task_runs_twice_with_zone_partitions_and_upkeeps() {
    play(4_000..4_001, ZONE_KINDS);
}
