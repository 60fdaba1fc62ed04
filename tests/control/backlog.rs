//! The backlog of waiting steps, whose order is kept between passes.

use std::collections::BTreeSet;

use quickcheck_macros::quickcheck;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::control::{Change, Scheduler};
use rosemarygauge::jobs::{JobId, RunResult, Step, TaskId};

use crate::pool::Pool;
use crate::world::{job, step};

const WORKER: &str = "i-elsewhere";

/// Derives a change of a task of one of the jobs from a random number.
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
                RunResult::Failed
            } else {
                RunResult::Done
            },
            checkpoint: String::new(),
        },
    }
}

/// Returns the tasks that a pass starts.
fn started_tasks(pool: &mut Pool) -> BTreeSet<TaskId> {
    pool.pass().into_iter().map(|start| start.task).collect()
}

/// Guards against an accepted job that never runs because a change of it did not reach the
/// backlog. After any changes, a scheduler that was updated incrementally starts the same
/// tasks as one that ranks all jobs from scratch.
#[quickcheck]
fn a_kept_backlog_equals_one_ranked_from_scratch(changes: Vec<Vec<u32>>) {
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
    let incremental = started_tasks(&mut pool);
    pool.scheduler = Scheduler::default();
    for id in 0..JOBS {
        pool.scheduler.touch(JobId::from(id));
    }
    assert_eq!(incremental, started_tasks(&mut pool));
}

/// Guards against a small job that waits for ever beside a free worker: jobs that no worker
/// can hold rank before it, and a pass stops after a number of consecutive misses without
/// reaching it.
#[test]
fn a_job_that_fits_is_reached_behind_any_number_that_never_fit() {
    let mut pool = Pool::new(1);
    for id in 0..1_000 {
        let mut too_large = step(1);
        too_large.demand.cpu_milli = 17_000;
        too_large.estimate_ms = 1;
        pool.accept(id, job(vec![too_large]));
    }
    pool.accept(5_000, job(vec![step(1)]));
    let started = (0..20).any(|_| !pool.pass().is_empty());
    assert!(started);
}

/// Small and large jobs are kept in two groups, and a pass that stops early has reached
/// different ranks in them. When the next pass resumed from a single position, it skipped
/// the steps in between in the other group, in every round the same ones, so that accepted
/// jobs never ran beside a free worker.
#[test]
fn a_job_that_fits_is_reached_among_small_and_large_jobs() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut pool = Pool::new(1);
        let fitting = rng.random_range(0..300);
        for id in 0..300 {
            let mut some = step(rng.random_range(1..12));
            some.estimate_ms = rng.random_range(50..2_000);
            some.demand.cpu_milli = match id == fitting {
                true => 15_000,
                false => rng.random_range(17_000..60_000),
            };
            pool.accept(id, job(vec![some]));
        }
        let started = (0..20).any(|_| !pool.pass().is_empty());
        assert!(started, "seed {seed}");
    }
}

/// Guards against a worker with more tasks of a step than the step's limit allows. After too
/// many misses a pass resumes where the last one stopped, here at the beginning, and visits
/// a step again of which it has already placed tasks. When it only knew the starts of
/// earlier passes, it placed the same tasks again and others beside them.
#[test]
fn a_step_visited_twice_in_a_pass_is_placed_once() {
    let mut pool = Pool::new(3);
    let mut spread = step(13);
    spread.per_worker_max = Some(1);
    spread.estimate_ms = 1;
    pool.accept(1, job(vec![spread]));
    for id in 100..400 {
        let mut too_large = step(1);
        too_large.demand.cpu_milli = 17_000;
        pool.accept(id, job(vec![too_large]));
    }
    let starts = pool.pass();
    let tasks: BTreeSet<_> = starts.iter().map(|start| start.task).collect();
    let workers: BTreeSet<_> = starts.iter().map(|start| &start.worker).collect();
    assert_eq!((tasks.len(), workers.len(), starts.len()), (3, 3, 3));
}
