//! Tasks that work for minutes, and workers that stand still with them.

use rosemarygauge::jobs::{JobId, JobSpec, JobState, Step};

use crate::waits::{LONGEST_WAIT_MS, Waits};
use crate::world::{World, job, step};

/// How long a long task works.
const LONG_MS: u64 = 300_000;

fn long(tasks: u16, estimate_ms: u64) -> JobSpec {
    job(vec![Step {
        estimate_ms,
        ..step(tasks)
    }])
}

fn submit_long(world: &mut World, jobs: u64, takes_ms: u64, spec: &JobSpec) {
    for id in 1..=jobs {
        for worker in world.workers.values_mut() {
            worker.job_run_ms.insert(JobId::from(id), takes_ms);
        }
        world.submit(1, "quick", id, spec.clone());
    }
}

/// Guards against tasks of minutes that are stopped as stalled and never end: their whole percent
/// stays the same for seconds although they work. Each stop closed its worker as well, so that
/// other jobs waited beside free workers.
#[test]
fn tasks_of_minutes_end_after_one_run_each() {
    let mut world = World::without_moves(100, 4, 1);
    submit_long(&mut world, 6, LONG_MS, &long(4, LONG_MS));
    let mut waits = Waits::default();
    waits.submit(&mut world, 30_000);
    assert_eq!(world.counted("run-stood-still"), 0);
    assert!(waits.longest_ms(&world, 0) < LONGEST_WAIT_MS);
    let leader = world.leader().unwrap();
    world.kill(&leader);
    world.run_ms(10_000);
    world.restart(&leader);
    world.run_ms(LONG_MS);
    assert_eq!(world.counted("run-stood-still"), 0);
    for id in 1..=6 {
        let runs = world
            .runs
            .iter()
            .filter(|run| run.task.job == JobId::from(id));
        assert_eq!(runs.count(), 4);
        assert_eq!(world.look(2, "quick", id), Some(JobState::Completed));
    }
}

/// Guards against the same where the estimate is far too low, or missing. The runs may be stopped
/// a few times at first; each task ends, and other jobs are not held up.
#[test]
fn tasks_that_take_a_thousand_times_their_estimate_end() {
    for (estimate_ms, takes_ms) in [(300, LONG_MS), (0, LONG_MS), (1_000, 1_000_000)] {
        let mut world = World::without_moves(101, 6, 1);
        submit_long(&mut world, 3, takes_ms, &long(4, estimate_ms));
        let mut waits = Waits::default();
        waits.submit(&mut world, 30_000);
        let longest_ms = waits.longest_ms(&world, 0);
        assert!(
            longest_ms < LONGEST_WAIT_MS,
            "{estimate_ms}: {longest_ms} ms"
        );
        world.run_ms(takes_ms + 30_000);
        for id in 1..=3 {
            let runs = world
                .runs
                .iter()
                .filter(|run| run.task.job == JobId::from(id));
            let runs = runs.count();
            assert!(runs <= 4 * 6, "{estimate_ms}: {runs} runs");
            assert_eq!(world.look(2, "quick", id), Some(JobState::Completed));
        }
    }
}

/// Guards against long runs that a new leader stops because it does not know their pace, or takes
/// the time between two listings for that of a percent.
#[test]
fn a_new_leader_stops_no_long_run() {
    for (seed, estimate_ms) in [(102, 300), (103, LONG_MS), (104, LONG_MS), (105, LONG_MS)] {
        let mut world = World::without_moves(seed, 6, 1);
        submit_long(&mut world, 3, LONG_MS, &long(4, estimate_ms));
        world.run_ms(60_000);
        let stopped = world.counted("run-stood-still");
        for round in 0..12 {
            let leader = world.leader().unwrap();
            world.kill(&leader);
            world.run_ms(8_000 + 270 * round);
            world.restart(&leader);
            world.run_ms(4_000);
        }
        assert_eq!(world.counted("run-stood-still"), stopped, "{seed}");
    }
}

/// Guards against a worker that stands still and is not found because its tasks are long: they
/// are started elsewhere once a sound run would have advanced by some percent.
#[test]
fn long_tasks_on_a_worker_that_stands_still_start_elsewhere() {
    const DEADLINE_MS: u64 = LONG_MS / 100 * 5 + 3_000;
    let mut world = World::without_moves(103, 4, 1);
    world.worker(1_001).stalls = true;
    submit_long(&mut world, 6, LONG_MS, &long(4, LONG_MS));
    world.run_ms(DEADLINE_MS);
    let name = world.worker(1_001).name.clone();
    let begun = world.runs.iter().filter(|run| run.worker == name);
    let begun: Vec<_> = begun.map(|run| run.task).collect();
    assert!(!begun.is_empty());
    let still = world
        .worker(1_001)
        .going
        .keys()
        .filter(|task| begun.contains(task));
    assert_eq!(still.count(), 0, "{begun:?}");
    world.worker(1_001).stalls = false;
    world.run_ms(LONG_MS + 10_000);
    for id in 1..=6 {
        assert_eq!(world.look(2, "quick", id), Some(JobState::Completed));
    }
}
