//! Random scenarios of mixed faults, by seed. At every start the world checks that no task
//! runs twice and that no task of a cancelled job starts. At the end every accepted job must
//! be in its expected state.

use std::collections::BTreeMap;
use std::ops::Range;

use rand::Rng;
use rosemarygauge::control::{Answer, Event};
use rosemarygauge::jobs::{JobId, JobState, Step};
use rosemarygauge::model::EntryName;

use crate::world::{World, job, lasting, name, step};

struct Scenario {
    world: World,
    accepted: Vec<u64>,
    /// Cancelled jobs, each with the call that cancelled it.
    cancels: BTreeMap<u64, u64>,
    next: u64,
    /// Number of kinds of faults that may occur.
    faults: u32,
    /// Injected faults: time, kind, instance and the worker's port.
    injected: Vec<(u64, u32, EntryName, u16)>,
}

/// Kinds of faults if the leader calls its workers itself, and including those of followers
/// that call workers for it.
const FAULTS: u32 = 8;
const CARRIED_FAULTS: u32 = 12;

impl Scenario {
    fn new(world: World, faults: u32) -> Self {
        Self {
            world,
            accepted: Vec::new(),
            cancels: BTreeMap::new(),
            next: 1,
            faults,
            injected: Vec::new(),
        }
    }

    fn submit(&mut self) {
        let id = self.next;
        self.next += 1;
        let second = Step {
            after: vec![0],
            ..step(2)
        };
        let spec = match id % 10 {
            0 if id < 60 => lasting(3),
            1 => job(vec![step(3), second]),
            _ => job(vec![step(4)]),
        };
        let at = self.world.rng.random_range(1..=3);
        let call = self.world.submit(at, "quick", id, spec);
        self.world.run_ms(60);
        if self.world.answers.get(&call) == Some(&Answer::Done) {
            self.accepted.push(id);
        }
        if id.is_multiple_of(13) && self.accepted.contains(&id) {
            let call = self.world.cancel(1, "quick", id);
            self.cancels.insert(id, call);
            self.world.run_ms(60);
            if self.world.answers.get(&call) == Some(&Answer::Done) {
                let now_ms = self.world.now_ms;
                self.world.cancelled_ms.insert(JobId::from(id), now_ms);
            }
        }
    }

    fn inject_fault(&mut self) {
        let world = &mut self.world;
        let place = name(world.rng.random_range(1..=3));
        let port = 1_000 + world.rng.random_range(0..5);
        let kind = world.rng.random_range(0..self.faults);
        self.injected
            .push((world.now_ms, kind, place.clone(), port));
        match kind {
            0 => {
                world.kill(&place);
                world.run_ms(1_500);
                world.restart(&place);
            }
            1 => {
                world.freeze(&place, true);
                world.run_ms(2_500);
                world.freeze(&place, false);
            }
            2 => {
                world.isolate(&place);
                world.run_ms(3_000);
                world.cut.clear();
            }
            3 => {
                world.kill(&place);
                world.run_ms(600);
                world.wipe(&place);
                // Only one disk at a time may be lost: wait until this instance has caught up.
                world.run_ms(5_000);
            }
            4 => {
                world.cut_worker(port);
                world.run_ms(4_000);
                world.cut.clear();
            }
            5 if world.workers.contains_key(&crate::world::address(port)) => {
                world.crash_worker(port, 1_200);
            }
            6 => world.late_per_mille = 40,
            8 => {
                world.cut_pair(place.as_str(), &crate::world::address(port).to_string());
                world.run_ms(3_500);
                world.cut.clear();
            }
            9 => {
                let other = name(world.rng.random_range(1..=3));
                world.hold(&place, &other, true);
                let held_ms = world.rng.random_range(100..3_000);
                world.run_ms(held_ms);
                world.hold(&place, &other, false);
            }
            10 => {
                let other = name(world.rng.random_range(1..=3));
                world.cut_pair(place.as_str(), other.as_str());
                world.run_ms(2_500);
                world.cut.clear();
            }
            11 => {
                world.feed(&place, Event::Stop);
                world.run_ms(3_500);
                assert!(!world.is_up(&place), "a planned stop takes too long");
                world.restart(&place);
            }
            _ => world.late_per_mille = 0,
        }
    }

    fn play(mut self, seed: u64) {
        for round in 0..60 {
            self.submit();
            if round % 6 == 5 {
                self.inject_fault();
            }
        }
        self.world.late_per_mille = 0;
        self.world.run_ms(25_000);
        let faults = &self.injected;
        let leader = self.world.leader();
        let leader = leader.unwrap_or_else(|| panic!("seed {seed}: no leader: {faults:?}"));
        for id in self.accepted {
            let job = self.world.state(&leader).job(JobId::from(id));
            let state = job.map(|job| job.state());
            // A cancellation that was refused has no effect. Any other may have one, also if
            // its answer is late or lost.
            let cancel = self.cancels.get(&id);
            let cancel = cancel.filter(|call| {
                let answer = self.world.answers.get(call);
                !matches!(answer, Some(Answer::Refused(_)))
            });
            let expected: &[JobState] = match (cancel, id % 10) {
                (Some(_), _) => &[JobState::Cancelled, JobState::Completed],
                (None, 0) if id < 60 => &[JobState::Running],
                (None, _) => &[JobState::Completed],
            };
            let is_expected = state.is_some_and(|state| expected.contains(&state));
            assert!(
                is_expected,
                "seed {seed}: job {id} is {state:?}: {faults:?}"
            );
        }
    }
}

/// Returns the seeds from the environment, as `RANDOM_SEEDS=FIRST..LAST`, or the default ones.
fn seeds(default_seeds: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("RANDOM_SEEDS") else {
        return default_seeds;
    };
    let (first, last) = text.split_once("..").expect("RANDOM_SEEDS is FIRST..LAST");
    first.parse().unwrap()..last.parse().unwrap()
}

#[test]
fn mixed_faults_break_no_promise() {
    for seed in seeds(1_000..1_012) {
        Scenario::new(World::new(seed, 5, 4), FAULTS).play(seed);
    }
}

/// As above, where followers send all orders to workers, with additional faults between the
/// leader, its followers and their workers.
#[test]
fn mixed_faults_break_no_promise_where_followers_carry_orders() {
    for seed in seeds(2_000..2_024) {
        Scenario::new(World::carried(seed, 5, 4), CARRIED_FAULTS).play(seed);
    }
}
