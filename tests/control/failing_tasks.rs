//! Tasks that fail at each start, beside sound ones.

use rosemarygauge::control::{FailedRun, Restarts, TaskFaults};
use rosemarygauge::jobs::{JobId, JobState, TaskId};

use crate::waits::{LONGEST_WAIT_MS, Waits};
use crate::world::{World, job, lasting, step};

/// When the tasks of a failing job fail after each start.
const FAILS_AFTER_MS: u64 = 50;
/// Time after its last run within which a lasting task has to be started again.
const LASTING_RESTART_MS: u64 = 6_000;
/// When a new leader may start tasks of jobs that were accepted before.
const TAKEOVER_MS: u64 = 7_000;

fn task(job: u64, index: u16) -> TaskId {
    TaskId {
        job: JobId::from(job),
        occurrence: 0,
        step: 0,
        index,
    }
}

fn failed(worked_ms: u64, restarts: Restarts) -> FailedRun {
    FailedRun {
        worked_ms,
        outliving: 0,
        restarts,
    }
}

fn submit_failing(world: &mut World, jobs: u64, tasks: u16, after_ms: u64) {
    for id in 1..=jobs {
        for worker in world.workers.values_mut() {
            worker.failing_jobs.insert(JobId::from(id), after_ms);
        }
        world.submit(1, "quick", id, lasting(tasks));
    }
}

/// Guards against lasting tasks that fail at each start and close their whole pool: each failure
/// counted against its worker, and the task was started again at once on the next one. Jobs
/// beside them had nothing running for seconds. It holds for one job and for many, for failures
/// after seconds, in small pools and after a change of leader.
#[test]
fn lasting_tasks_that_fail_at_each_start_close_no_pool() {
    for (workers, jobs, tasks, after_ms) in [
        (9, 1, 5, FAILS_AFTER_MS),
        (3, 1, 3, FAILS_AFTER_MS),
        (12, 30, 5, FAILS_AFTER_MS),
        (9, 6, 5, 1_500),
        (9, 6, 5, 3_300),
    ] {
        let mut world = World::without_moves(90, workers, 1);
        submit_failing(&mut world, jobs, tasks, after_ms);
        let mut waits = Waits::default();
        waits.submit(&mut world, 20_000);
        let longest_ms = waits.longest_ms(&world, 0);
        assert!(
            longest_ms < LONGEST_WAIT_MS,
            "{workers}, {jobs}: {longest_ms} ms"
        );
        let leader = world.leader().unwrap();
        world.kill(&leader);
        world.run_ms(TAKEOVER_MS);
        world.restart(&leader);
        let again_ms = world.now_ms;
        waits.submit(&mut world, 15_000);
        let longest_ms = waits.longest_ms(&world, again_ms);
        assert!(
            longest_ms < LONGEST_WAIT_MS,
            "{workers}, {jobs}: {longest_ms} ms"
        );
    }
}

/// Guards against a lasting task that is started again without a pause, and against a pause in
/// which it counts as lost.
#[test]
fn a_lasting_task_that_fails_at_each_start_is_started_again_with_a_delay() {
    let mut world = World::without_moves(91, 6, 1);
    submit_failing(&mut world, 1, 2, FAILS_AFTER_MS);
    world.run_ms(60_000);
    for index in 0..2 {
        let runs = world.runs.iter().filter(|run| run.task == task(1, index));
        let began_ms: Vec<u64> = runs.map(|run| run.began_ms).collect();
        let gaps_ms: Vec<u64> = began_ms.windows(2).map(|two| two[1] - two[0]).collect();
        assert!(began_ms.len() <= 60_000 / 2_000 + 5, "{gaps_ms:?}");
        assert!(
            gaps_ms.iter().all(|ms| *ms < LASTING_RESTART_MS),
            "{gaps_ms:?}"
        );
    }
}

/// Guards against a defective worker that is not found because a failing job is there as well.
#[test]
fn a_worker_that_fails_everything_is_closed_beside_a_failing_job() {
    let mut world = World::without_moves(92, 6, 1);
    world.worker(1_002).fails_all = true;
    submit_failing(&mut world, 2, 4, FAILS_AFTER_MS);
    let mut waits = Waits::default();
    waits.submit(&mut world, 30_000);
    let worker = world.worker(1_002).name.clone();
    let on_it = world.runs.iter().filter(|run| run.worker == worker).count();
    assert!(
        on_it < world.runs.len() / 8,
        "{on_it} of {}",
        world.runs.len()
    );
    assert!(waits.longest_ms(&world, 0) < LONGEST_WAIT_MS);
    world.run_ms(3_000);
    assert_eq!(world.look(1, "quick", 50_000), Some(JobState::Completed));
}

/// Guards against one large job that hides a defective worker: its tasks are done elsewhere.
#[test]
fn a_worker_that_fails_the_tasks_of_one_large_job_is_closed() {
    let mut world = World::without_moves(93, 4, 1);
    world.worker(1_001).fails_all = true;
    world.submit(1, "quick", 1, job(vec![step(400)]));
    world.run_ms(12_000);
    assert_eq!(world.look(1, "quick", 1), Some(JobState::Completed));
}

#[test]
fn the_share_of_a_worker_falls_with_failures_elsewhere_and_rises_with_success() {
    let mut faults = TaskFaults::default();
    let mut share = |index: u16, worker: &str| {
        let failed = failed(50, Restarts::Lasting);
        faults.run_failed(0, task(1, index), &worker.into(), failed, 0.5)
    };
    assert_eq!(share(0, "a"), 1.0);
    assert_eq!(share(0, "b"), 0.5);
    assert!(share(0, "c") < 0.4);
    assert!(share(1, "c") < 0.2);
    let mut faults = TaskFaults::default();
    let share = |faults: &mut TaskFaults, outliving: usize| {
        let failed = FailedRun {
            outliving,
            ..failed(50, Restarts::Limited)
        };
        faults.run_failed(0, task(1, 0), &"a".into(), failed, 0.5)
    };
    assert_eq!(share(&mut faults, 0), 1.0);
    assert_eq!(share(&mut faults, 0), 0.5);
    assert!(share(&mut faults, 20) > 0.9);
    (1..=20).for_each(|index| faults.run_done(task(1, index)));
    assert!(share(&mut faults, 0) > 0.9);
}

/// Guards against delays that have no bound, are the same for all, or outlive a sound run.
#[test]
fn delays_grow_to_a_bound_and_are_forgotten_after_a_sound_run() {
    let mut faults = TaskFaults::default();
    let mut delay_ms = |worked_ms: u64, restarts, jitter: f64| {
        let failed = failed(worked_ms, restarts);
        faults.run_failed(0, task(1, 0), &"a".into(), failed, jitter);
        (0..20_000)
            .find(|ms| faults.may_start(*ms, task(1, 0)))
            .unwrap()
    };
    let delays_ms = [(); 8].map(|()| delay_ms(50, Restarts::Lasting, 1.0));
    assert_eq!(
        delays_ms,
        [0, 500, 1_000, 2_000, 4_000, 4_000, 4_000, 4_000]
    );
    assert_eq!(delay_ms(50, Restarts::Lasting, 0.0), 2_000);
    assert_eq!(delay_ms(10_000, Restarts::Lasting, 1.0), 0);
    assert_eq!(delay_ms(50, Restarts::Lasting, 1.0), 500);
    assert_eq!(delay_ms(10_000, Restarts::Limited, 1.0), 0);
    let delays_ms = [(); 7].map(|()| delay_ms(50, Restarts::Limited, 1.0));
    assert_eq!(delays_ms, [0, 0, 500, 1_000, 2_000, 2_000, 2_000]);
}

/// Guards against a lasting task that completes at each start and is started again without a
/// pause.
#[test]
fn a_lasting_task_that_completes_at_each_start_is_delayed() {
    let mut faults = TaskFaults::default();
    let mut delay_ms = |worked_ms: u64| {
        faults.lasting_run_done(0, task(1, 0), worked_ms, 1.0);
        (0..20_000)
            .find(|ms| faults.may_start(*ms, task(1, 0)))
            .unwrap()
    };
    assert_eq!([50; 4].map(&mut delay_ms), [0, 500, 1_000, 2_000]);
    assert_eq!([2_000, 50].map(&mut delay_ms), [0, 500]);
}
