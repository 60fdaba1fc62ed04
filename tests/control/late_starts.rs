//! Starts whose placements become durable late, while what they were placed on changes.

use rosemarygauge::jobs::{JobId, JobState};

use crate::world::{World, address, job, name, step};

/// With this sync, changes that gather take seconds to become durable, while the leader
/// still hears its voters in time.
const SLOW_SYNC_MS: u64 = 150;
/// Jobs that are handed in ahead of a placement, so that it waits for longer than a lease.
const AHEAD: u64 = 4_500;
/// Jobs that are handed in after it: what frees its worker's runs is not durable with it.
const BETWEEN: u64 = 300;

/// A task runs on two workers at once. Its placement waits behind thousands of changes;
/// meanwhile its worker falls silent and the leader orders that all that runs there be
/// freed, as its leases have run out. The placement becomes durable first: its start leaves
/// with a new lease. Then all is freed, the start with it, and the task starts elsewhere.
#[test]
fn a_start_does_not_leave_for_a_worker_whose_runs_are_about_to_be_freed() {
    for seed in 600..602 {
        let mut world = World::without_moves(seed, 1, 0);
        world.worker(1_000).run_ms = 60_000;
        world.submit(1, "quick", 1, job(vec![step(1)]));
        assert!(world.until(2_000, |w| w.runs.len() == 1));
        world.run_ms(500);
        silence(&mut world, true);
        world.run_ms(2_600);
        world.submit(1, "quick", 2, job(vec![step(1)]));
        world.run_ms(200);
        world.sync_ms = SLOW_SYNC_MS;
        hand_in(&mut world, 0..AHEAD);
        // Heard once, it gets the second job's task; then it is silent for good.
        silence(&mut world, false);
        let lease_end_ms = world.worker(1_000).lease_end_ms;
        let port = address(1_000);
        assert!(world.until(2_000, |w| w.workers[&port].lease_end_ms > lease_end_ms));
        world.run_ms(40);
        silence(&mut world, true);
        hand_in(&mut world, AHEAD..AHEAD + BETWEEN);
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

/// The only worker is cut off from all instances, or heard again.
fn silence(world: &mut World, silent: bool) {
    world.cut.clear();
    if silent {
        world.cut_worker(1_000);
    }
}

/// Its orders reach the worker, and no answer comes back.
fn cut_answers(world: &mut World) {
    for place in 1..=3 {
        let pair = (address(1_000).to_string(), name(place).to_string());
        world.cut.insert(pair);
    }
}

/// Hands in jobs that wait, at the leader.
fn hand_in(world: &mut World, ids: std::ops::Range<u64>) {
    let leader = world.leader().unwrap();
    let place = (1..=3).find(|place| name(*place) == leader).unwrap();
    for id in ids {
        world.submit(place, "long", 10 + id, job(vec![step(1)]));
    }
}
