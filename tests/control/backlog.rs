//! The order of what waits, kept from pass to pass.

use std::collections::BTreeSet;

use quickcheck_macros::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::control::{Change, Scheduler};
use rosemarygauge::jobs::{Ending, JobId, Step, TaskId};

use crate::pool::Pool;
use crate::world::{job, step};

const WORKER: &str = "i-elsewhere";

/// What one random number does to a task of one of the jobs.
fn random_change(random: u32, jobs: u64, pool: &Pool) -> Change {
    let id = JobId::from(u64::from(random) % jobs);
    let task = TaskId {
        job: id,
        occurrence: 0,
        step: (random >> 8) as u16 % 2,
        index: (random >> 10) as u16 % 3,
    };
    let known = pool.state.job(id).and_then(|job| job.task(task));
    let attempt = known.map_or(0, |task| task.attempt);
    let worker = WORKER.into();
    match (random >> 16) % 8 {
        0 => Change::Cancel { job: id },
        1 => Change::Unplace {
            task,
            attempt,
            worker,
        },
        2..5 => Change::Place {
            task,
            attempt: attempt + 1,
            worker,
        },
        kind => Change::End {
            task,
            attempt,
            worker,
            ending: if kind == 5 {
                Ending::Failed
            } else {
                Ending::Done
            },
            checkpoint: String::new(),
        },
    }
}

/// The tasks that a pass starts.
fn tasks(pool: &mut Pool) -> BTreeSet<TaskId> {
    pool.pass().into_iter().map(|start| start.task).collect()
}

/// An accepted job is never run: something of it changed, and the order that is kept from
/// pass to pass was not told. Whatever changes, a scheduler that has followed all along
/// starts what one starts that ranks everything anew.
#[quickcheck]
fn what_waits_is_the_same_as_ranked_anew(changes: Vec<Vec<u32>>) {
    const JOBS: u64 = 60;
    let mut pool = Pool::new(40);
    for id in 0..JOBS {
        let second = Step {
            after: vec![0],
            ..step(3)
        };
        pool.accept(id, job(vec![step(3), second]));
    }
    pool.refresh();
    for batch in changes {
        for random in batch {
            let change = random_change(random, JOBS, &pool);
            pool.change(change);
        }
        pool.refresh();
    }
    let followed = tasks(&mut pool);
    pool.scheduler = Scheduler::default();
    for id in 0..JOBS {
        pool.scheduler.touch(JobId::from(id));
    }
    assert_eq!(followed, tasks(&mut pool));
}

/// Callers of a small job wait for ever beside a free worker: jobs that no worker could
/// ever hold stand before it in the order, and a pass that gives up behind so many of
/// them never comes to it.
#[test]
fn a_job_that_fits_is_come_to_behind_any_number_that_never_will() {
    let mut pool = Pool::new(1);
    for id in 0..1_000 {
        let mut never = step(1);
        never.demand.cpu_milli = 17_000;
        never.estimate_ms = 1;
        pool.accept(id, job(vec![never]));
    }
    pool.accept(5_000, job(vec![step(1)]));
    let started = (0..20).any(|_| !pool.pass().is_empty());
    assert!(started);
}

/// Small and large jobs stand in two rows of one order, and a pass that gives up has come
/// to different places in them. Where the next one went on from one place for both, it
/// left out what the other row still had before it, in each round the same jobs: accepted,
/// with a free worker, and never run.
#[test]
fn a_job_that_fits_is_come_to_in_either_row_of_small_and_large_ones() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut pool = Pool::new(1);
        let own = rng.random_range(0..300);
        for id in 0..300 {
            let mut some = step(rng.random_range(1..12));
            some.estimate_ms = rng.random_range(50..2_000);
            some.demand.cpu_milli = match id == own {
                true => 15_000,
                false => rng.random_range(17_000..60_000),
            };
            pool.accept(id, job(vec![some]));
        }
        let started = (0..20).any(|_| !pool.pass().is_empty());
        assert!(started, "seed {seed}");
    }
}

/// A worker gets two tasks of a step of which it may have one. A pass that gives up on what
/// finds no room walks the rest from where the last one ended, here from the beginning, and
/// comes to a step again of which it has placed some tasks already. It knew only the starts
/// of earlier passes, so it placed the same tasks once more, and others beside them.
#[test]
fn a_step_that_a_pass_comes_to_twice_is_placed_once() {
    let mut pool = Pool::new(3);
    let mut spread = step(13);
    spread.per_worker_max = Some(1);
    spread.estimate_ms = 1;
    pool.accept(1, job(vec![spread]));
    for id in 100..400 {
        let mut never = step(1);
        never.demand.cpu_milli = 17_000;
        pool.accept(id, job(vec![never]));
    }
    let starts = pool.pass();
    let tasks: BTreeSet<_> = starts.iter().map(|start| start.task).collect();
    let workers: BTreeSet<_> = starts.iter().map(|start| &start.worker).collect();
    assert_eq!((tasks.len(), workers.len(), starts.len()), (3, 3, 3));
}
