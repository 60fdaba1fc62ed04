use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Arrival, Demand, QueueSpec, TaskTruth, TurnPace, Workload};
use crate::jobs::{JobSpec, Resources, Step};

/// A task fails at most so often, however many of all runs fail.
const FAILURES_MAX: u32 = 50;

/// Draws all jobs of a play before it begins, so that no policy changes what comes.
#[derive(Debug)]
pub struct Arrivals<'a> {
    workload: &'a Workload,
    rng: ChaCha8Rng,
    /// The pool whose turn it is, and until when.
    turn: usize,
    turn_until_ms: u64,
}

impl<'a> Arrivals<'a> {
    /// Those of a workload under a seed.
    pub fn new(workload: &'a Workload, seed: u64) -> Self {
        Self {
            workload,
            rng: ChaCha8Rng::seed_from_u64(seed),
            turn: 0,
            turn_until_ms: 0,
        }
    }

    /// All jobs, by time.
    pub fn draw(mut self) -> Vec<Arrival> {
        let mut all = Vec::new();
        for at_ms in 0..self.workload.play_ms() {
            let turn = self.turn(at_ms);
            let rates = self.rates(at_ms, turn);
            let due = rates.iter().sum::<f64>() / 1_000.0;
            let more = self.rng.random_bool(due.fract());
            for _ in 0..due as u64 + u64::from(more) {
                if let Some(queue) = self.queue(&rates) {
                    all.push(self.job(at_ms, queue));
                }
            }
        }
        all
    }

    /// The pool whose turn it is.
    fn turn(&mut self, at_ms: u64) -> usize {
        let Demand::Turns { turn_ms, pace, .. } = self.workload.demand else {
            return 0;
        };
        let pools = self.workload.fleet.pools.len();
        if at_ms >= self.turn_until_ms {
            let (step, lasts_ms) = match pace {
                TurnPace::Even => (1, turn_ms),
                TurnPace::Uneven => {
                    let step = self.rng.random_range(1..pools.max(2));
                    let lasts_ms = self.rng.random_range(turn_ms / 2..=turn_ms * 3 / 2);
                    (step, lasts_ms)
                }
            };
            self.turn = (self.turn + step) % pools;
            self.turn_until_ms = at_ms + lasts_ms;
        }
        self.turn
    }

    /// Jobs a second of each queue at a time.
    fn rates(&self, at_ms: u64, turn: usize) -> Vec<f64> {
        let workload = self.workload;
        let pools = &workload.fleet.pools;
        let factor = workload.demand.factor(at_ms, workload.play_ms());
        let queues = workload.queues.iter();
        queues
            .map(|queue| {
                let has_turn = pools[turn].name == queue.pool;
                let of_pool = workload.demand.factor_of_pool(has_turn, pools.len());
                queue.jobs_per_s * factor * of_pool
            })
            .collect()
    }

    /// A queue by its rate; none if no jobs come.
    fn queue(&mut self, rates: &[f64]) -> Option<usize> {
        let mut left = self.rng.random::<f64>() * rates.iter().sum::<f64>();
        let mut last = None;
        for (place, rate) in rates.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
            last = Some(place);
            left -= rate;
            if left < 0.0 {
                break;
            }
        }
        last
    }

    fn job(&mut self, at_ms: u64, queue: usize) -> Arrival {
        let spec = &self.workload.queues[queue];
        let factor = spec.estimate_factor.draw(&mut self.rng);
        let steps = spec.steps.iter().enumerate().map(|(place, step)| Step {
            tasks: step.tasks,
            demand: Resources {
                cpu_milli: step.cpu_milli,
                memory_mb: step.memory_mb,
                accelerators: 0,
            },
            estimate_ms: ((step.run_ms as f64 * factor) as u64).max(1),
            after: place.checked_sub(1).map(|p| p as u16).into_iter().collect(),
            ..Step::default()
        });
        let job = JobSpec {
            payload: "work".into(),
            steps: steps.collect(),
            recurrence: None,
        };
        let steps = spec.steps.iter();
        let truths = steps
            .map(|step| {
                let tasks = 0..step.tasks;
                tasks.map(|_| self.task(spec, step.run_ms)).collect()
            })
            .collect();
        Arrival {
            at_ms,
            queue,
            spec: Arc::new(job),
            truths,
        }
    }

    fn task(&mut self, queue: &QueueSpec, run_ms: u64) -> TaskTruth {
        let factor = queue.run_factor.draw(&mut self.rng);
        let mut failures = 0;
        while failures < FAILURES_MAX && self.rng.random_bool(queue.failing_part) {
            failures += 1;
        }
        TaskTruth::even(((run_ms as f64 * factor) as u64).max(1), failures)
    }
}
