//! Which jobs count as pending: those of which no worker has begun a task.

use rosemarygauge::jobs::JobState;

use crate::world::{World, job, name, step};

/// Jobs of each test.
const JOBS: u64 = 8;
/// Port of the only worker of their pool.
const WORKER: u16 = 1_000;

fn submit_all(world: &mut World) {
    for id in 1..=JOBS {
        world.submit(1, "quick", id, job(vec![step(1)]));
    }
}

/// Asserts how many of the jobs are pending, and that all are in one state.
fn assert_jobs(world: &mut World, pending: u64, state: JobState) {
    let leader = world.leader();
    let at = (1..=3).find(|place| Some(name(*place)) == leader).unwrap();
    assert_eq!(world.pending(at, "quick"), Some(pending as usize));
    assert_eq!(world.look(at, "quick", JOBS), Some(state));
}

/// Guards against a count of pending jobs that leaves out those whose starts were rejected: a
/// job counted as started once a placement was decided.
#[test]
fn jobs_whose_starts_are_rejected_are_pending() {
    let mut world = World::without_moves(850, 1, 1);
    world.worker(WORKER).run_ms = 20_000;
    world.worker(WORKER).unhealthy = true;
    submit_all(&mut world);
    world.run_ms(5_000);
    assert_jobs(&mut world, JOBS, JobState::Queued);
    world.worker(WORKER).unhealthy = false;
    world.run_ms(2_500);
    assert_jobs(&mut world, 0, JobState::Running);
}

/// Guards against the same while starts get no answer, and with a new leader that takes over
/// their placements.
#[test]
fn jobs_whose_starts_are_not_answered_are_pending() {
    let mut world = World::without_moves(851, 1, 1);
    let cut = world.cut.clone();
    world.cut_worker(WORKER);
    submit_all(&mut world);
    world.run_ms(300);
    let leader = world.leader().unwrap();
    assert!(
        world.state(&leader).active().any(|job| !job.has_no_runs()),
        "no start was ordered"
    );
    assert_jobs(&mut world, JOBS, JobState::Queued);
    world.kill(&leader);
    world.run_ms(3_000);
    assert_jobs(&mut world, JOBS, JobState::Queued);
    world.worker(WORKER).run_ms = 20_000;
    world.cut = cut;
    world.run_ms(15_000);
    assert_jobs(&mut world, 0, JobState::Running);
}

/// Guards against started jobs that are pending again with a new leader, which cannot reach
/// their worker to ask for its runs.
#[test]
fn started_jobs_are_not_pending_again_with_a_new_leader() {
    for mut world in World::both(852, 1, 1) {
        world.worker(WORKER).run_ms = 60_000;
        submit_all(&mut world);
        world.run_ms(500);
        assert_jobs(&mut world, 0, JobState::Running);
        let leader = world.leader().unwrap();
        world.cut_worker(WORKER);
        world.kill(&leader);
        world.run_ms(3_000);
        assert_jobs(&mut world, 0, JobState::Running);
        world.run_ms(15_000);
        assert!(world.worker(WORKER).going.is_empty(), "its leases end");
        assert_jobs(&mut world, 0, JobState::Running);
    }
}
