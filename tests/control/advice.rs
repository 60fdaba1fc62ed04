//! Requests to an advisor that handles one after the other.

use rosemarygauge::control::Advice;
use rosemarygauge::jobs::{JobId, JobState};

use crate::world::{World, job, step};

/// Time after the end of the load in which all jobs of a test end.
const FINISH_MS: u64 = 14_000;
/// A request about twelve workers takes half a second.
const SLOW: Advice = Advice {
    decision_ms: 140,
    per_worker_ms: 30,
    validity_ms: 3_000,
};

/// Returns whether jobs of these ids are completed.
fn are_completed(world: &World, ids: impl IntoIterator<Item = u64>) -> bool {
    let Some(leader) = world.leader() else {
        return false;
    };
    let state = world.state(&leader);
    ids.into_iter().all(|id| {
        let job = state.job(JobId::from(id));
        job.is_some_and(|job| job.state() == JobState::Completed)
    })
}

/// Guards against jobs that never start: requests queue up at the advisor in a burst, and each
/// ticket counted as expired when its answer came.
#[test]
fn tickets_of_requests_that_queued_up_in_a_burst_are_used() {
    for seed in 840..843 {
        let mut world = World::without_moves(seed, 12, 2);
        world.require_advice(SLOW);
        for id in 1..=30 {
            world.submit(1 + id as usize % 3, "quick", id, job(vec![step(4)]));
            world.run_ms(if (8..27).contains(&id) { 210 } else { 550 });
        }
        let completed = |w: &World| are_completed(w, 1..=30);
        assert!(world.until(FINISH_MS, completed), "seed {seed}");
    }
}

/// Guards against the same where the leader is lost in the burst, and the next one asks anew.
#[test]
fn tickets_are_used_after_a_change_of_leader_in_a_burst() {
    let mut world = World::without_moves(847, 12, 2);
    world.require_advice(SLOW);
    for id in 1..=20 {
        world.submit(1 + id as usize % 3, "quick", id, job(vec![step(4)]));
        world.run_ms(210);
        if id == 14 {
            let leader = world.leader().unwrap();
            world.kill(&leader);
            world.restart(&leader);
        }
    }
    let stored = |world: &World| {
        let leader = world.leader()?;
        Some(world.state(&leader).queued("quick").count())
    };
    assert!(world.until(3_000, |w| stored(w).is_some()));
    assert!(world.until(FINISH_MS, |w| stored(w) == Some(0)));
    assert!(world.until(FINISH_MS, |w| {
        let leader = w.leader().unwrap();
        w.state(&leader).active_count() == 0
    }));
}

/// Guards against jobs that never start where a request takes longer than its tickets are valid.
#[test]
fn tickets_are_used_though_their_request_took_longer_than_they_are_valid() {
    let mut world = World::without_moves(843, 12, 2);
    world.require_advice(Advice {
        validity_ms: 300,
        ..SLOW
    });
    world.submit(1, "quick", 1, job(vec![step(4)]));
    assert!(world.until(FINISH_MS, |w| are_completed(w, [1])));
}

/// Guards against jobs that never start: a request about few workers was given up while those
/// about many were before it, and its answer was dropped.
#[test]
fn a_short_request_behind_long_ones_is_not_given_up() {
    let mut world = World::without_moves(844, 40, 2);
    world.require_advice(Advice {
        per_worker_ms: 60,
        ..SLOW
    });
    for id in 1..=10 {
        world.submit(1, "quick", id, job(vec![step(4)]));
    }
    world.run_ms(1_000);
    world.submit(1, "long", 100, job(vec![step(2)]));
    for id in 11..=20 {
        world.submit(1, "quick", id, job(vec![step(4)]));
        world.run_ms(1_000);
    }
    assert!(are_completed(&world, [100]));
}

/// Guards against a flood of requests to an advisor that refuses them.
#[test]
fn an_advisor_that_refuses_is_not_asked_again_at_once() {
    let mut world = World::without_moves(845, 12, 2);
    world.require_advice(SLOW);
    world.advisor.refuses = true;
    for id in 1..=10 {
        world.submit(1, "quick", id, job(vec![step(4)]));
    }
    world.run_ms(4_000);
    let asked = world.advisor.asked;
    assert!(asked <= 20, "{asked} requests in 4 s");
    world.advisor.refuses = false;
    assert!(world.until(FINISH_MS, |w| are_completed(w, 1..=10)));
}

/// Guards against jobs that never start: each request to an advisor that takes five times as long
/// as it states was given up before its answer came.
#[test]
fn an_advisor_that_is_slower_than_it_states_is_awaited() {
    let mut world = World::without_moves(846, 12, 2);
    world.require_advice(SLOW);
    world.advisor.times = Advice {
        decision_ms: 5 * SLOW.decision_ms,
        per_worker_ms: 5 * SLOW.per_worker_ms,
        ..SLOW
    };
    world.submit(1, "quick", 1, job(vec![step(4)]));
    assert!(world.until(FINISH_MS, |w| are_completed(w, [1])));
}
