//! Followers that carry out the leader's orders to workers.

use std::collections::BTreeSet;

use rosemarygauge::consensus::Timestamp;
use rosemarygauge::control::{Carriers, CarriersPolicy, Event, Order, OrderKind};
use rosemarygauge::jobs::{JobId, JobState};
use rosemarygauge::model::{EntryName, InstanceName};

use crate::world::{World, address, job, lasting, name, step};

/// In a large fleet followers send all orders, each to a part of the workers.
#[test]
fn followers_carry_all_orders() {
    let mut world = World::carried(500, 8, 8);
    let leader = world.leader().unwrap();
    world.ordered.clear();
    world.submit(1, "quick", 1, job(vec![step(20), step(4)]));
    world.run_ms(4_000);
    assert_eq!(world.look(1, "quick", 1), Some(JobState::Completed));
    assert_eq!(world.ordered_by(&leader), 0);
    for place in world.followers() {
        assert!(world.ordered_by(&name(place)) > 20, "{:?}", world.ordered);
    }
    assert_eq!(world.counted("order-not-carried"), 0);
}

/// In a small fleet the leader calls the workers itself, as carriers would cost more.
#[test]
fn a_small_fleet_is_called_by_the_leader_itself() {
    let mut world = World::new(501, 4, 4);
    world.submit(1, "quick", 1, job(vec![step(8)]));
    world.run_ms(3_000);
    for place in world.followers() {
        assert_eq!(world.ordered_by(&name(place)), 0);
    }
}

/// A follower is killed while it carries orders, so its open orders will have no outcome.
/// Others take over its workers, and all jobs complete in time.
#[test]
fn jobs_end_when_a_carrier_is_killed() {
    for seed in 510..516 {
        let mut world = World::carried(seed, 6, 6);
        let follower = name(world.followers()[0]);
        for id in 1..=20 {
            world.submit(1, "quick", id, job(vec![step(3), step(3)]));
        }
        world.run_ms(20);
        world.kill(&follower);
        let done = world.until(3_000, |w| {
            let Some(leader) = w.leader() else {
                return false;
            };
            let state = |id| w.state(&leader).job(JobId::from(id)).map(|j| j.state());
            (1..=20).all(|id| state(id) == Some(JobState::Completed))
        });
        assert!(done, "{seed}");
    }
}

/// A follower is killed and restarted at once under the same name. The open orders of the
/// old process are lost, and they must not be confused with those of the new one.
#[test]
fn jobs_end_when_a_carrier_restarts() {
    for seed in 520..526 {
        let mut world = World::carried(seed, 6, 6);
        let follower = name(world.followers()[1]);
        for id in 1..=20 {
            world.submit(1, "quick", id, job(vec![step(3), step(3)]));
        }
        world.run_ms(20);
        world.kill(&follower);
        world.run_ms(100);
        world.restart(&follower);
        let done = world.until(3_000, |w| {
            let leader = w.leader().unwrap();
            let state = |id| w.state(&leader).job(JobId::from(id)).map(|j| j.state());
            (1..=20).all(|id| state(id) == Some(JobState::Completed))
        });
        assert!(done, "{seed}");
    }
}

/// A follower reaches the leader but none of the workers, while the leader and the other
/// follower reach them. No worker is given up, and all jobs complete.
#[test]
fn a_carrier_that_reaches_no_worker_loses_no_worker() {
    let mut world = World::carried(530, 6, 6);
    let follower = name(world.followers()[0]);
    for port in (1_000..1_006).chain(2_000..2_006) {
        world.cut_pair(follower.as_str(), &address(port).to_string());
    }
    for id in 1..=20 {
        world.submit(1, "quick", id, job(vec![step(3)]));
        world.run_ms(200);
    }
    world.run_ms(6_000);
    for id in 1..=20 {
        assert_eq!(world.look(1, "quick", id), Some(JobState::Completed));
    }
    assert_eq!(world.counted("worker-lapsed"), 0);
}

/// The leader's messages to a follower are delayed by three seconds and then arrive
/// together, after newer orders that took another way. The follower carries out none of
/// them (the world checks each order), and all jobs complete.
#[test]
fn delayed_orders_are_not_carried_out() {
    let mut world = World::carried(540, 6, 6);
    let leader = world.leader().unwrap();
    let follower = name(world.followers()[0]);
    world.hold(&leader, &follower, true);
    for id in 1..=10 {
        world.submit(1, "quick", id, job(vec![step(6)]));
    }
    world.run_ms(3_000);
    let leads = world.leader();
    assert_eq!(leads, Some(leader.clone()));
    let before = world.ordered_by(&follower);
    world.hold(&leader, &follower, false);
    world.run_ms(60);
    assert_eq!(world.ordered_by(&follower), before);
    assert!(world.counted("order-stale") > 0, "{:?}", world.decisions);
    world.run_ms(3_000);
    for id in 1..=10 {
        assert_eq!(world.look(1, "quick", id), Some(JobState::Completed));
    }
}

/// The leader is killed while its followers carry orders to workers that do not answer. The
/// followers abort their open orders, and the next leader finds the running tasks and starts
/// nothing twice (the world checks every start).
#[test]
fn a_change_of_leader_aborts_carried_orders() {
    for seed in 550..556 {
        let mut world = World::carried(seed, 5, 5);
        for worker in world.workers.values_mut() {
            worker.run_ms = 4_000;
        }
        world.submit(1, "quick", 1, job(vec![step(15)]));
        world.submit(1, "quick", 2, lasting(4));
        world.run_ms(60);
        let leader = world.leader().unwrap();
        let others = world.followers();
        for place in &others {
            for port in (1_000..1_005).chain(2_000..2_005) {
                world.cut_pair(name(*place).as_str(), &address(port).to_string());
            }
        }
        world.run_ms(150);
        world.kill(&leader);
        world.run_ms(1_200);
        world.cut.clear();
        world.run_ms(300);
        for place in &others {
            assert!(world.aborted_by(&name(*place)) > 0, "{seed}");
        }
        world.run_ms(11_000);
        assert_eq!(world.look(others[0], "quick", 1), Some(JobState::Completed));
        assert_eq!(world.look(others[0], "quick", 2), Some(JobState::Running));
    }
}

/// A follower that carries orders is stopped as planned. The leader gives it no more orders,
/// and none of its orders goes without an outcome.
#[test]
fn a_planned_stop_of_a_carrier_loses_no_order() {
    for seed in 560..566 {
        let mut world = World::carried(seed, 6, 6);
        let follower = name(world.followers()[0]);
        for id in 1..=10 {
            world.submit(1, "quick", id, job(vec![step(4), step(4)]));
        }
        world.run_ms(40);
        world.feed(&follower, Event::Stop);
        world.run_ms(20);
        let ordered = world.ordered_by(&follower);
        assert!(world.until(1_000, |w| !w.is_up(&follower)), "{seed}");
        assert_eq!(world.ordered_by(&follower), ordered);
        world.run_ms(4_000);
        for id in 1..=10 {
            assert_eq!(world.look(1, "quick", id), Some(JobState::Completed));
        }
        assert_eq!(world.counted("order-not-carried"), 0, "{seed}");
    }
}

const STAMP: Timestamp = Timestamp {
    start: 1,
    at_ms: 1_000,
};

fn worker(number: usize) -> InstanceName {
    InstanceName::from(format!("i-{number}"))
}

fn order(id: u64) -> Order {
    Order {
        id,
        address: address(1_000),
        worker: worker(1),
        fence: 3,
        timeout_ms: 400,
        kind: OrderKind::Renew {
            lease_end_ms: None,
            acknowledged: 0,
            wait_ms: 0,
        },
    }
}

/// Returns the carrier of each of 400 workers while these followers answer.
fn carriers_of_400_workers(places: &[usize]) -> Vec<EntryName> {
    let names: Vec<EntryName> = places.iter().map(|place| name(*place)).collect();
    let heard: Vec<_> = names.iter().map(|name| (name, STAMP, 20)).collect();
    let mut carriers = Carriers::default();
    carriers.update(1_000, &heard, 9);
    (0..400)
        .map(|number| carriers.carrier_of(&worker(number)).unwrap().clone())
        .collect()
}

/// When one of five followers is lost, only its workers move to others. No follower has
/// much more than a fifth of the workers.
#[test]
fn the_loss_of_a_follower_moves_only_its_workers() {
    let before = carriers_of_400_workers(&[1, 2, 3, 4, 5]);
    let after = carriers_of_400_workers(&[1, 2, 4, 5]);
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || *before == name(3));
    }
    for place in 1..=5 {
        let part = before.iter().filter(|n| **n == name(place)).count();
        assert!((50..=110).contains(&part), "{part}");
    }
}

/// Only as many followers carry orders as the fleet needs, and another replaces a lost one.
#[test]
fn only_as_many_followers_carry_as_are_needed() {
    let policy = CarriersPolicy { workers_each: 120 };
    assert_eq!([49, 120, 121, 350].map(|n| policy.wanted(n)), [0, 0, 2, 3]);
    let names: Vec<EntryName> = (1..=5).map(name).collect();
    let mut heard: Vec<_> = names.iter().map(|name| (name, STAMP, 20)).collect();
    let mut carriers = Carriers::default();
    let mut carrying = |heard: &[_]| -> BTreeSet<EntryName> {
        carriers.update(1_000, heard, 2);
        let of = |number| carriers.carrier_of(&worker(number)).unwrap().clone();
        (0..400).map(of).collect()
    };
    assert_eq!(carrying(&heard), BTreeSet::from([name(1), name(2)]));
    heard[0].2 = 700;
    assert_eq!(carrying(&heard), BTreeSet::from([name(2), name(3)]));
}

/// A follower with a slow disk acknowledges late, and orders are too old to be carried out
/// by the time it reads them. If it still got orders, it would refuse all starts of its part
/// of the fleet. Others call its workers meanwhile.
#[test]
fn a_follower_that_lags_gets_no_orders() {
    let (one, two) = (name(1), name(2));
    let mut carriers = Carriers::default();
    let all_direct =
        |carriers: &Carriers| (0..50).all(|n| carriers.carrier_of(&worker(n)).is_none());
    carriers.update(1_000, &[(&one, STAMP, 400), (&two, STAMP, 20)], 9);
    assert!((0..50).all(|n| carriers.carrier_of(&worker(n)) == Some(&two)));
    carriers.update(1_100, &[(&one, STAMP, 400), (&two, STAMP, 400)], 9);
    assert!(all_direct(&carriers), "the leader calls them itself");
    carriers.update(1_200, &[(&one, STAMP, 20), (&two, STAMP, 20)], 9);
    assert!(!all_direct(&carriers));
}

/// A follower acknowledges the log but returns no outcomes, as one of another release may.
/// Its orders count as unanswered in time, and after several in a row it is excluded.
#[test]
fn a_follower_without_outcomes_is_excluded() {
    let one = name(1);
    let heard = [(&one, STAMP, 20)];
    let mut carriers = Carriers::default();
    carriers.update(1_000, &heard, 9);
    for id in 1..=6 {
        assert_eq!(carriers.assign(order(id)), None);
        assert_eq!(carriers.messages(1_000 + id, 3).len(), 1);
    }
    assert!(carriers.update(1_400, &heard, 9).orders.is_empty());
    let losses = carriers.update(2_060, &heard, 9);
    assert_eq!(
        (losses.orders, losses.excluded),
        (vec![1, 2, 3, 4, 5, 6], 1)
    );
    assert_eq!(carriers.carrier_of(&worker(1)), None);
    carriers.update(2_060 + 3_000, &heard, 9);
    assert_eq!(carriers.carrier_of(&worker(1)), Some(&one));
}

/// A follower is lost or was restarted. All its open orders count as unanswered at once,
/// because no outcome can arrive any more.
#[test]
fn open_orders_of_a_lost_follower_count_as_unanswered_at_once() {
    let one = name(1);
    let restarted = Timestamp { start: 2, ..STAMP };
    for (stamp, age_ms) in [(STAMP, 700), (restarted, 20)] {
        let mut carriers = Carriers::default();
        carriers.update(1_000, &[(&one, STAMP, 20)], 9);
        carriers.assign(order(1));
        carriers.assign(order(2));
        carriers.messages(1_000, 3);
        let losses = carriers.update(1_300, &[(&one, stamp, age_ms)], 9);
        assert_eq!((losses.orders, losses.excluded), (vec![1, 2], 1));
        assert_eq!(carriers.carrier_of(&worker(1)), None);
        assert!(!carriers.record_outcome(&one, 1));
    }
}

/// An outcome is ignored if its order was already counted as unanswered, or if it comes from
/// a follower that did not get the order.
#[test]
fn only_outcomes_of_open_orders_count() {
    let (one, two) = (name(1), name(2));
    let heard = [(&one, STAMP, 20)];
    let mut carriers = Carriers::default();
    carriers.update(1_000, &heard, 9);
    carriers.assign(order(1));
    carriers.assign(order(2));
    carriers.messages(1_000, 3);
    assert!(!carriers.record_outcome(&two, 1));
    assert!(carriers.record_outcome(&one, 1));
    assert!(!carriers.record_outcome(&one, 1));
    assert_eq!(carriers.update(2_500, &heard, 9).orders, [2]);
    assert!(!carriers.record_outcome(&one, 2));
}

/// The leader itself calls a worker for a while that its carrier could not reach.
#[test]
fn the_leader_calls_a_worker_that_its_carrier_did_not_reach() {
    let one = name(1);
    let heard = [(&one, STAMP, 20)];
    let mut carriers = Carriers::default();
    carriers.update(1_000, &heard, 9);
    carriers.record_unreachable(1_000, &worker(1));
    assert_eq!(carriers.assign(order(1)), Some(order(1)));
    assert_eq!(carriers.carrier_of(&worker(2)), Some(&one));
    carriers.update(4_000, &heard, 9);
    assert_eq!(carriers.carrier_of(&worker(1)), Some(&one));
}
