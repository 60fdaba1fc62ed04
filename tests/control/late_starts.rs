//! Placements that become durable late, after the state of their worker has changed.

use rosemarygauge::jobs::{JobId, JobState};

use crate::world::{TIMING, World, address, job, name, step};

/// Duration of a disk sync with which queued changes take seconds to become durable, while
/// the leader still hears its voters in time.
const SLOW_SYNC_MS: u64 = 150;
/// Lease of the worker. The times of this scenario are made for it.
const LEASE_MS: u64 = 5_000;
/// Jobs submitted before the placement, so that it waits for longer than a lease.
const JOBS_BEFORE_PLACEMENT: u64 = 4_500;
/// Jobs submitted after the placement, so that the change which frees the worker's runs
/// becomes durable later than the placement.
const JOBS_AFTER_PLACEMENT: u64 = 300;

/// Guards against a task that runs on two workers at once. Its placement waits behind
/// thousands of changes. Meanwhile its worker stops answering, its leases expire and the
/// leader proposes to free its runs. If the start were sent when the placement becomes
/// durable, it would carry a new lease, and then the worker's runs would be freed, including
/// this one, and the task would start elsewhere too.
#[test]
fn no_start_is_sent_to_a_worker_whose_runs_are_about_to_be_freed() {
    for seed in 600..602 {
        let mut world = World::without_moves_and_with_lease(seed, 1, 0, LEASE_MS);
        world.worker(1_000).run_ms = 60_000;
        world.submit(1, "quick", 1, job(vec![step(1)]));
        assert!(world.until(2_000, |w| w.runs.len() == 1));
        world.run_ms(500);
        set_cut_off(&mut world, true);
        world.run_ms(2_600);
        world.submit(1, "quick", 2, job(vec![step(1)]));
        world.run_ms(200);
        world.sync_ms = SLOW_SYNC_MS;
        submit_jobs(&mut world, 0..JOBS_BEFORE_PLACEMENT);
        // After one answer the worker gets the second job's task; then it is cut off for good.
        set_cut_off(&mut world, false);
        let lease_end_ms = world.worker(1_000).lease_end_ms;
        let port = address(1_000);
        assert!(world.until(2_000, |w| w.workers[&port].lease_end_ms > lease_end_ms));
        world.run_ms(40);
        set_cut_off(&mut world, true);
        submit_jobs(
            &mut world,
            JOBS_BEFORE_PLACEMENT..JOBS_BEFORE_PLACEMENT + JOBS_AFTER_PLACEMENT,
        );
        assert!(
            world.until(9_000, |w| w.counted("worker-lapsed") == 1),
            "{seed}"
        );
        assert_eq!(world.runs.len(), 1, "the placement is durable too early");
        world.cut.clear();
        cut_answers(&mut world);
        world.add_worker(1_001, "east");
        world.run_ms(6_000);
        let second = world.runs.iter().filter(|r| r.task.job == JobId::from(2));
        assert_eq!(second.count(), 1, "{seed}: {:?}", world.runs);
        assert_eq!(world.look(1, "quick", 2), Some(JobState::Completed));
    }
}

/// Cuts the only worker off from all control instances, or reconnects it.
fn set_cut_off(world: &mut World, cut_off: bool) {
    world.cut.clear();
    if cut_off {
        world.cut_worker(1_000);
    }
}

/// Drops the worker's answers, while orders still reach it.
fn cut_answers(world: &mut World) {
    for place in 1..=3 {
        let pair = (address(1_000).to_string(), name(place).to_string());
        world.cut.insert(pair);
    }
}

/// Submits jobs at the leader that then wait.
fn submit_jobs(world: &mut World, ids: std::ops::Range<u64>) {
    let leader = world.leader().unwrap();
    let place = (1..=3).find(|place| name(*place) == leader).unwrap();
    for id in ids {
        world.submit(place, "long", 10 + id, job(vec![step(1)]));
    }
}

/// Guards against a task that waits for as long as no stop reaches the worker. The start of its
/// run was not answered, and the worker lists its runs without it long after the lease of that
/// start has expired.
#[test]
fn a_run_whose_stop_is_never_sent_is_given_up_after_its_lease() {
    let mut world = World::without_moves(5, 2, 1);
    let leader = world.leader().unwrap();
    for port in [1_000, 1_001] {
        let worker = address(port).to_string();
        world.cut.insert((leader.to_string(), worker));
    }
    world.submit(1, "quick", 7, job(vec![step(1)]));
    world.run_ms(300);
    let run = |world: &World| {
        let job = world.state(&leader).job(JobId::from(7))?;
        let run = job.runs().next()?.1;
        Some(run.worker.to_string())
    };
    let placed_on = run(&world).unwrap();
    let placed = world.workers.values().find(|w| w.name == placed_on);
    let placed = placed.unwrap().address;
    world.cut.clear();
    world.crowded.insert(placed);
    let ended = world.until(2 * TIMING.lease_max_ms, |world| {
        let job = world.state(&leader).job(JobId::from(7));
        job.is_some_and(|job| job.verdict.is_some())
    });
    assert!(
        ended,
        "the task is still held by a run on {placed_on}: {:?}",
        run(&world)
    );
}
