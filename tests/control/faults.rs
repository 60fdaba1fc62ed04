//! Workers that are unreachable, crash, fail their runs, stall or carry out orders late.

use rosemarygauge::control::Answer;
use rosemarygauge::jobs::{JobId, JobState};

use crate::world::{TIMING, World, address, job, lasting, name, step};

/// A worker with a lasting task is cut off. Every unanswered renewal might still arrive. If
/// each carried a later lease end, the lease would never certainly expire, and the task
/// would not start elsewhere for as long as the partition lasts.
#[test]
fn the_lease_of_an_unreachable_worker_expires() {
    for mut world in World::both(21, 6, 1) {
        world.submit(1, "quick", 1, lasting(5));
        world.run_ms(2_000);
        let port = world
            .workers
            .values()
            .find(|w| !w.going.is_empty())
            .map(|w| w.address.port())
            .unwrap();
        world.cut_worker(port);
        world.run_ms(8_000);
        assert_eq!(world.runs.len(), 6, "{:?}", world.runs);
    }
}

/// A worker crashes and a new incarnation answers at its address. The runs of the previous
/// one have ended, and their tasks start again without waiting for the lease to expire.
#[test]
fn a_new_incarnation_frees_the_tasks_of_the_previous_one() {
    for mut world in World::both(22, 3, 1) {
        for worker in world.workers.values_mut() {
            worker.run_ms = 2_500;
        }
        world.submit(1, "quick", 1, job(vec![step(9)]));
        world.run_ms(500);
        let port = world
            .workers
            .values()
            .find(|w| !w.going.is_empty())
            .unwrap()
            .address
            .port();
        let lost = world.worker(port).going.len();
        world.crash_worker(port, 300);
        world.run_ms(1_500);
        assert_eq!(world.runs.len(), 9 + lost);
        world.run_ms(3_500);
        assert_eq!(world.look(1, "quick", 1), Some(JobState::Completed));
    }
}

/// One worker fails every run at once and therefore always has free room. Jobs must not use
/// up their attempts there.
#[test]
fn a_worker_that_fails_everything_does_not_fail_the_jobs() {
    for mut world in World::both(23, 5, 1) {
        world.worker(1_000).fails_all = true;
        for id in 0..40 {
            world.submit(1, "quick", 1 + id, job(vec![step(4)]));
            world.run_ms(100);
        }
        world.run_ms(4_000);
        let failed =
            (0..40).filter(|id| world.look(1, "quick", 1 + id) != Some(JobState::Completed));
        assert_eq!(failed.count(), 0);
    }
}

/// Tasks on one worker make no progress although it reports that it is healthy. They are
/// restarted elsewhere, and their jobs complete.
#[test]
fn stalled_tasks_are_restarted() {
    for mut world in World::both(24, 4, 1) {
        world.worker(1_001).stalls = true;
        for id in 0..8 {
            world.submit(1, "quick", 1 + id, job(vec![step(6)]));
        }
        world.run_ms(12_000);
        for id in 0..8 {
            assert_eq!(
                world.look(1, "quick", 1 + id),
                Some(JobState::Completed),
                "{id}"
            );
        }
    }
}

/// Orders are not answered and carried out seconds later, after newer ones. No task runs
/// twice (the world checks every start), and all jobs complete.
#[test]
fn late_orders_start_nothing_twice() {
    for seed in 250..256 {
        for mut world in World::both(seed, 4, 4) {
            world.late_per_mille = 60;
            for id in 0..30 {
                world.submit(1, "quick", 1 + id, job(vec![step(4), step(2)]));
                world.run_ms(120);
            }
            world.run_ms(9_000);
            world.late_per_mille = 0;
            world.run_ms(9_000);
            for id in 0..30 {
                assert_eq!(
                    world.look(1, "quick", 1 + id),
                    Some(JobState::Completed),
                    "{seed}: {id}"
                );
            }
        }
    }
}

/// When a job is cancelled, its runs are stopped and none of its tasks starts any more.
#[test]
fn a_cancelled_job_stops_and_starts_nothing() {
    for mut world in World::both(26, 3, 1) {
        for worker in world.workers.values_mut() {
            worker.run_ms = 60_000;
        }
        world.submit(1, "quick", 1, job(vec![step(60)]));
        world.submit(1, "quick", 2, lasting(3));
        world.run_ms(1_000);
        world.cancel(2, "quick", 1);
        world.cancel(2, "quick", 2);
        world.run_ms(1_500);
        assert!(world.workers.values().all(|w| w.going.is_empty()));
        let started = world.runs.len();
        world.run_ms(3_000);
        assert_eq!(world.runs.len(), started);
        assert_eq!(world.look(1, "quick", 1), Some(JobState::Cancelled));
    }
}

/// Guards against a run of a cancelled job that nobody stops, because its worker left the order
/// to start it unanswered and carried it out seconds after the job was cancelled.
#[test]
fn a_start_that_is_carried_out_after_its_job_was_cancelled_is_stopped() {
    let mut ran = 0;
    for seed in 740..760 {
        for mut world in World::both(seed, 3, 1) {
            for worker in world.workers.values_mut() {
                worker.run_ms = 60_000;
            }
            world.run_ms(1_000);
            world.submit(1, "quick", 1, job(vec![step(6)]));
            world.run_ms(30);
            world.late_per_mille = 1_000;
            world.run_ms(300);
            world.cancel(2, "quick", 1);
            world.run_ms(1_900);
            world.late_per_mille = 0;
            let mut going_ms = 0;
            for _ in 0..150 {
                world.run_ms(100);
                let is_going = world.workers.values().any(|w| !w.going.is_empty());
                going_ms = if is_going { going_ms + 100 } else { 0 };
                ran += u32::from(is_going);
                assert!(going_ms <= CONTACT_MS, "{seed}");
            }
            assert!(world.workers.values().all(|w| w.going.is_empty()), "{seed}");
        }
    }
    assert!(ran > 0, "no start was carried out late");
}

/// Guards against a run of a cancelled job that goes on because the control instance that started
/// it was removed for good.
#[test]
fn the_runs_of_a_leader_that_was_removed_are_stopped_when_their_job_is_cancelled() {
    for seed in 760..770 {
        for mut world in World::both(seed, 3, 1) {
            for worker in world.workers.values_mut() {
                worker.run_ms = 60_000;
            }
            world.submit(1, "quick", 1, job(vec![step(20)]));
            world.run_ms(1_000);
            let leader = world.leader().unwrap();
            world.kill(&leader);
            let other = (1..=3).find(|place| name(*place) != leader).unwrap();
            let delay_ms = (seed - 760) * 200;
            world.run_ms(delay_ms);
            let is_cancelled = (0..5).any(|_| {
                let call = world.cancel(other, "quick", 1);
                world.until(1_000, |w| w.answers.get(&call) == Some(&Answer::Done))
            });
            assert!(is_cancelled, "{seed}");
            world.run_ms(CONTACT_MS + TIMING.stop_timeout_ms);
            assert!(world.workers.values().all(|w| w.going.is_empty()), "{seed}");
            let started = world.runs.len();
            world.run_ms(3_000);
            assert_eq!(world.runs.len(), started, "{seed}");
        }
    }
}

/// Time within which the system acts on a change where nothing is impaired.
const CONTACT_MS: u64 = 3_000;

/// The job of a task that fails every time fails after as many attempts as its queue allows,
/// and no further attempt starts.
#[test]
fn a_job_fails_after_its_last_attempt() {
    for mut world in World::both(27, 2, 1) {
        for worker in world.workers.values_mut() {
            worker.fails_all = true;
        }
        world.submit(1, "quick", 1, job(vec![step(1)]));
        world.run_ms(15_000);
        assert_eq!(world.look(1, "quick", 1), Some(JobState::Failed));
        assert_eq!(world.runs.len(), 3);
    }
}

/// All connections to a worker are busy until a start order times out, so the order was not
/// sent. If it were treated like an unanswered one, which is sent again twice and then
/// stopped, the task would wait for as long as the worker is busy. It starts elsewhere at
/// once instead.
#[test]
fn a_start_that_was_not_sent_is_placed_elsewhere_at_once() {
    for mut world in World::both(580, 3, 3) {
        world.crowded.insert(address(1_000));
        world.submit(1, "quick", 1, job(vec![step(6)]));
        let done = world.until(2_500, |w| {
            let leader = w.leader().unwrap();
            let job = w.state(&leader).job(JobId::from(1));
            job.is_some_and(|job| job.state() == JobState::Completed)
        });
        assert!(done, "{:?}", world.decisions);
        assert!(world.counted("order-not-sent") > 0);
        assert_eq!(world.counted("start-sent-again"), 0);
    }
}

/// A start order is sent and delayed, and its resends are not sent. Because the first one
/// may still arrive, the task must not start elsewhere before the worker has accepted a stop
/// order (the world checks that nothing runs twice).
#[test]
fn a_start_that_may_arrive_is_not_placed_again_when_its_resend_is_not_sent() {
    for seed in 585..591 {
        let mut world = World::new(seed, 3, 3);
        world.late_per_mille = 1_000;
        world.submit(1, "quick", 1, job(vec![step(6)]));
        world.run_ms(300);
        world.late_per_mille = 0;
        world.crowded.extend([1_000, 1_001, 1_002].map(address));
        world.run_ms(2_000);
        assert!(world.counted("order-not-sent") > 0);
        assert!(world.counted("start-sent-again") > 0);
        world.crowded.clear();
        world.run_ms(14_000);
        assert_eq!(world.look(1, "quick", 1), Some(JobState::Completed));
    }
}
