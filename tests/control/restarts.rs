//! Workers that start again under the name that they had.

use rand::Rng;
use rosemarygauge::control::{Answer, Phase};
use rosemarygauge::jobs::JobState;

use crate::world::{TIMING, World, address, job, step};

/// Time in which everything that was lost has started again and ended.
const RECOVERY_MS: u64 = 9_000;

fn submit_all(world: &mut World, ids: std::ops::Range<u64>) {
    for id in ids {
        let call = world.submit(1, "quick", id, job(vec![step(4)]));
        assert!(world.until(1_000, |w| w.answers.get(&call) == Some(&Answer::Done)));
    }
}

/// Guards against ends that are taken for acknowledged: the numbers of a worker's ends begin
/// anew, and an acknowledgement up to a number of before would make it forget them.
#[test]
fn the_ends_of_a_worker_that_started_again_are_recorded() {
    for mut world in World::both(401, 1, 1) {
        world.tell_starts();
        submit_all(&mut world, 1..6);
        world.run_ms(3_000);
        world.worker(1_000).run_ms = 1_500;
        submit_all(&mut world, 10..12);
        world.run_ms(600);
        world.start_worker_again(1_000);
        world.run_ms(RECOVERY_MS);
        for id in (1..6).chain(10..12) {
            assert_eq!(
                world.look(1, "quick", id),
                Some(JobState::Completed),
                "{id}"
            );
        }
    }
}

/// Guards against reports that are taken for late ones because their numbers begin anew: a
/// worker that drains would get work.
#[test]
fn a_worker_that_started_again_drains_when_it_says_so() {
    for mut world in World::both(402, 2, 1) {
        world.tell_starts();
        world.run_ms(5_000);
        world.start_worker_again(1_000);
        world.run_ms(2_000);
        world.worker(1_000).phase = Phase::Draining;
        world.run_ms(1_500);
        let before = world.runs.len();
        submit_all(&mut world, 1..4);
        world.run_ms(2_000);
        let drained = world.workers[&address(1_000)].name.clone();
        let started: Vec<_> = world.runs[before..].iter().map(|r| &r.worker).collect();
        assert!(!started.is_empty() && started.iter().all(|w| **w != drained));
    }
}

/// Guards against leases that are reckoned by the clock of before, which was ahead: a run that
/// is placed after the start would never lapse.
#[test]
fn the_lease_of_a_worker_that_started_again_ends_by_its_new_clock() {
    const RUN_MS: u64 = 4_000;
    // Time to hear that the worker has started again, and that the runs have ended.
    const CONTACT_MS: u64 = 1_000;
    let mut world = World::without_moves(403, 2, 0);
    world.tell_starts();
    world.worker(1_000).clock_base_ms = 900_000;
    world.run_ms(3_000);
    world.start_worker_again(1_000);
    let end_ms = world.now_ms + TIMING.lease_max_ms * 100 / 98 + RUN_MS + CONTACT_MS;
    world.run_ms(2_000);
    world.worker(1_000).run_ms = RUN_MS;
    world.worker(1_001).run_ms = RUN_MS;
    submit_all(&mut world, 1..5);
    world.run_ms(500);
    world.cut_worker(1_000);
    world.run_ms(end_ms - world.now_ms);
    for id in 1..5 {
        assert_eq!(
            world.look(1, "quick", id),
            Some(JobState::Completed),
            "{id}"
        );
    }
}

/// Orders that arrive seconds late, and workers that start again, at random times: no task
/// runs twice and none starts after its end (the world checks every start), and all jobs end.
#[test]
fn late_orders_to_workers_that_started_again_run_nothing_twice() {
    for seed in 0..24 {
        let mut world = World::without_moves(450 + seed, 4, 1);
        world.tell_starts();
        world.late_per_mille = 60;
        for id in 1..13 {
            let port = 1_000 + world.rng.random_range(0..4);
            submit_all(&mut world, id..id + 1);
            let after_ms = world.rng.random_range(0..1_200);
            world.run_ms(after_ms);
            if world.rng.random_bool(0.5) {
                world.start_worker_again(port);
            }
        }
        world.late_per_mille = 0;
        world.run_ms(15_000);
        for id in 1..13 {
            assert_eq!(
                world.look(1, "quick", id),
                Some(JobState::Completed),
                "seed {seed}, job {id}"
            );
        }
    }
}

/// How long a worker that starts again is out of reach before.
const DOWN_MS: u64 = 600;

/// Runs tasks of a minute on four workers, and starts one again under its name while orders are
/// on their way to it: they carry lease ends by the clock of before, which was far ahead.
/// `cut_after_ms` after its start it is cut off for good, and runs on.
fn start_again_and_cut_off(world: &mut World, seed: u64, cut_after_ms: u64) {
    world.tell_starts();
    for port in 1_000..1_004 {
        world.worker(port).clock_base_ms = 900_000;
        world.worker(port).run_ms = 60_000;
    }
    // The time between its start and its next report differs.
    world.run_ms(3_000 + seed % 10 * 50);
    let cut = world.cut.clone();
    world.cut_worker(1_000);
    for id in 1..7 {
        world.submit(1, "quick", id, job(vec![step(4)]));
        world.run_ms(DOWN_MS / 6);
    }
    world.cut = cut;
    world.start_worker_again(1_000);
    world.run_ms(cut_after_ms);
    world.cut_worker(1_000);
}

/// Does that with leaders that call their workers themselves or by way of followers, brings about
/// what may come `next`, and waits until all leases have ended. The world checks each start.
fn check_starts_elsewhere(
    seeds: std::ops::Range<u64>,
    cut_after_ms: impl Fn(u64) -> u64,
    next: impl Fn(&mut World),
) {
    let mut taken = 0;
    for seed in seeds {
        for mut world in World::both(seed, 4, 1) {
            start_again_and_cut_off(&mut world, seed, cut_after_ms(seed));
            taken += world.worker(1_000).going.len();
            next(&mut world);
            world.run_ms(14_000);
            let is_idle = world.worker(1_000).going.is_empty();
            assert!(is_idle, "seed {seed}: its leases end");
        }
    }
    assert!(
        taken > 0,
        "the new process took no order that was on its way"
    );
}

/// Guards against tasks that run twice: a worker that has started again under its name holds
/// the longest lease that workers accept, and its leader waited for one that it grants.
#[test]
fn a_worker_that_started_again_and_is_cut_off_runs_nothing_twice() {
    check_starts_elsewhere(500..520, |_| 1_000, |_| {});
}

/// Guards against the same with a new leader, which does not know that the worker has started
/// again.
#[test]
fn a_new_leader_waits_for_the_leases_of_a_worker_that_started_again() {
    let lose_leader = |world: &mut World| {
        let leader = world.leader().unwrap();
        world.kill(&leader);
    };
    check_starts_elsewhere(520..540, |_| 1_000, lose_leader);
}

/// Guards against the same where the worker is cut off before the leader hears that it has
/// started again.
#[test]
fn a_worker_whose_start_is_not_heard_runs_nothing_twice() {
    check_starts_elsewhere(540..580, |seed| 50 + seed % 10 * 45, |_| {});
}
