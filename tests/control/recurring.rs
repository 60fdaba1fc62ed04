//! Recurring jobs whose occurrences come due faster than they end.

use std::sync::Arc;

use rosemarygauge::control::{Answer, Change, JobMemory, Refusal, State};
use rosemarygauge::jobs::{JobId, JobSpec, JobState, MAX_TASKS, Recurrence, SpecFault};

use crate::pool::apply;
use crate::world::{World, configuration, job, lasting, name, step};

/// Memory that the jobs of the tests may take.
const LIMIT_BYTES: usize = 4 << 20;
/// Least memory that the state takes for a task, whatever the account says.
const LEAST_TASK_BYTES: usize = 200;

fn recurring(spec: JobSpec, times: u32, interval_ms: u64) -> JobSpec {
    JobSpec {
        recurrence: Some(Recurrence {
            times,
            start_unix_ms: 0,
            interval_ms,
        }),
        ..spec
    }
}

/// Returns the number of tasks that the state of an instance has for active jobs.
fn tasks_of(state: &State) -> usize {
    let jobs = state.active();
    jobs.map(|job| job.occurrences().count() * job.spec.tasks())
        .sum()
}

fn check_memory(world: &World) {
    for at in (1..=3).map(name) {
        let held_bytes = tasks_of(world.state(&at)) * LEAST_TASK_BYTES;
        assert!(held_bytes <= LIMIT_BYTES, "{at}: {held_bytes} bytes");
        let counted_bytes = world.state(&at).job_memory().bytes();
        assert!(counted_bytes <= LIMIT_BYTES, "{at}: {counted_bytes} bytes");
    }
}

/// Guards against one recurring job with due times in the past that uses up the memory of all
/// control instances: every due occurrence was created at once, and only one was counted. The
/// bound holds after a change of leader and a restart, and other jobs are served beside it.
#[test]
fn due_occurrences_stay_within_the_memory_for_jobs() {
    let shapes = [
        (1, 8_760, 500),
        (3, 8_760, 100),
        (40, 2_000, 3),
        (200, 9, 400),
    ];
    for (jobs, times, tasks) in shapes {
        let mut world = World::with_job_limit(48, 4, 4, LIMIT_BYTES);
        for id in 0..jobs {
            world.submit(1, "long", id, recurring(job(vec![step(tasks)]), times, 1));
            world.run_ms(20);
        }
        for _ in 0..50 {
            world.run_ms(200);
            check_memory(&world);
        }
        let leader = world.leader().unwrap();
        world.kill(&leader);
        world.run_ms(3_000);
        world.restart(&leader);
        for _ in 0..30 {
            world.run_ms(200);
            check_memory(&world);
        }
        let id = world.submit(1, "quick", 999, job(vec![step(4)]));
        world.run_ms(4_000);
        assert_eq!(world.answers.get(&id), Some(&Answer::Done));
        assert_eq!(world.look(2, "quick", 999), Some(JobState::Completed));
    }
}

/// Guards against occurrences that are lost when their creation is held back: each still runs,
/// in the order of its due time.
#[test]
fn occurrences_that_were_held_back_run_later() {
    const LIMIT_BYTES: usize = 256 << 10;
    let mut world = World::with_job_limit(49, 4, 4, LIMIT_BYTES);
    for worker in world.workers.values_mut() {
        worker.run_ms = 60;
    }
    let spec = recurring(job(vec![step(40)]), 30, 1);
    world.submit(1, "long", 1, spec);
    assert!(world.until(60_000, |w| w.runs.len() == 30 * 40));
    assert!(world.counted("occurrence-held-back") > 0);
    world.run_ms(2_000);
    assert_eq!(world.look(2, "long", 1), Some(JobState::Completed));
    assert_eq!(world.runs.len(), 30 * 40);
}

/// Guards against overlapping occurrences of a job that are run one after another although
/// there is memory for all.
#[test]
fn occurrences_overlap_while_there_is_memory() {
    let mut world = World::with_job_limit(50, 4, 4, LIMIT_BYTES);
    for worker in world.workers.values_mut() {
        worker.run_ms = 5_000;
    }
    world.submit(1, "long", 1, recurring(job(vec![step(2)]), 6, 1));
    world.run_ms(2_000);
    assert_eq!(world.runs.len(), 12);
}

/// Guards against one job whose overdue occurrences take the whole memory for recurring jobs, so
/// that occurrences of others, which overlap, have to wait.
#[test]
fn one_job_has_no_more_open_tasks_than_the_largest_job() {
    let mut world = World::with_job_limit(51, 1, 1, usize::MAX);
    for worker in world.workers.values_mut() {
        worker.run_ms = 60_000;
    }
    world.submit(1, "long", 1, recurring(job(vec![step(400)]), 8_760, 1));
    world.run_ms(6_000);
    let leader = world.leader().unwrap();
    let open = tasks_of(world.state(&leader));
    assert!((MAX_TASKS / 2..=MAX_TASKS).contains(&open), "{open} tasks");
}

/// Guards against the acceptance of a recurring job whose tasks never end and which has more of
/// them than can be open: some could never start.
#[test]
fn a_recurring_lasting_job_is_refused_if_it_can_never_be_open_whole() {
    let large = recurring(lasting(5), 2_001, 1_000);
    let fault = SpecFault::ManyTasks {
        tasks: 10_005,
        limit: MAX_TASKS,
    };
    assert_eq!(large.check(), Err(fault));
    let whole = recurring(lasting(5), 2_000, 1_000);
    assert_eq!(whole.check(), Ok(()));
    let mut world = World::with_job_limit(52, 4, 4, LIMIT_BYTES);
    let id = world.submit(1, "long", 1, whole);
    world.run_ms(1_000);
    let answer = world.answers.get(&id);
    assert!(
        matches!(answer, Some(Answer::Refused(Refusal::Busy { .. }))),
        "{answer:?}"
    );
}

/// Guards against an estimate that leaves out created occurrences or differs after a snapshot.
#[test]
fn open_occurrences_are_counted_until_they_are_done() {
    let mut state = State::default();
    apply(&mut state, Change::Configure(Arc::new(configuration(1))));
    let id = JobId::from(1);
    let spec = Arc::new(recurring(job(vec![step(24)]), 9, 1));
    apply(
        &mut state,
        Change::Accept {
            job: id,
            queue: "quick".into(),
            spec: Arc::clone(&spec),
        },
    );
    let reserved_bytes = state.job_memory().bytes();
    assert_eq!(reserved_bytes, JobMemory::of_active(&spec));
    for occurrence in 0..4 {
        apply(
            &mut state,
            Change::Due {
                job: id,
                occurrence,
            },
        );
    }
    let open_bytes = state.job_memory().bytes();
    let further = reserved_bytes + 3 * 24 * LEAST_TASK_BYTES;
    assert!(open_bytes >= further, "{open_bytes} below {further}");
    let read = State::decode(&state.encode()).unwrap();
    assert_eq!(read.job_memory(), state.job_memory());
    apply(&mut state, Change::Cancel { job: id });
    let read = State::decode(&state.encode()).unwrap();
    assert_eq!(read.job_memory(), state.job_memory());
    assert!(state.job_memory().bytes() < reserved_bytes);
}
