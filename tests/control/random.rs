//! Seeded days of mixed faults. At every start the world checks that no task runs
//! twice and none of a cancelled job starts; in the end every job must be done.

use rand::Rng;
use rosemarygauge::control::Answer;
use rosemarygauge::jobs::{JobId, JobState, Step};

use crate::world::{World, job, lasting, name, step};

struct Day {
    world: World,
    accepted: Vec<u64>,
    cancelled: Vec<u64>,
    next: u64,
}

impl Day {
    fn new(seed: u64) -> Self {
        Self {
            world: World::new(seed, 5, 4),
            accepted: Vec::new(),
            cancelled: Vec::new(),
            next: 1,
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
            self.world.run_ms(60);
            if self.world.answers.get(&call) == Some(&Answer::Done) {
                let now_ms = self.world.now_ms;
                self.world.cancelled_ms.insert(JobId::from(id), now_ms);
                self.cancelled.push(id);
            }
        }
    }

    fn fault(&mut self) {
        let world = &mut self.world;
        let place = name(world.rng.random_range(1..=3));
        let port = 1_000 + world.rng.random_range(0..5);
        match world.rng.random_range(0..8) {
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
                // Another disk may be lost only once this one has caught up.
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
            _ => world.late_per_mille = 0,
        }
    }

    fn play(mut self, seed: u64) {
        for round in 0..60 {
            self.submit();
            if round % 6 == 5 {
                self.fault();
            }
        }
        self.world.late_per_mille = 0;
        self.world.run_ms(25_000);
        let leader = self.world.leader().expect("someone leads in the end");
        for id in self.accepted {
            let job = self.world.state(&leader).job(JobId::from(id));
            let state = job.map(|job| job.state());
            let wanted: &[JobState] = match (self.cancelled.contains(&id), id % 10) {
                (true, _) => &[JobState::Cancelled, JobState::Completed],
                (false, 0) if id < 60 => &[JobState::Running],
                (false, _) => &[JobState::Completed],
            };
            let fine = state.is_some_and(|state| wanted.contains(&state));
            assert!(fine, "seed {seed}: job {id} is {state:?}");
        }
    }
}

#[test]
fn mixed_faults_break_no_promise() {
    for seed in 1_000..1_012 {
        Day::new(seed).play(seed);
    }
}
