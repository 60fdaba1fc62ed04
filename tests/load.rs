//! What callers get under each pattern of load, played on the bench.
#![allow(missing_docs, clippy::unwrap_used)]

use rosemarygauge::load::harness::{Behaviour, Side};
use rosemarygauge::load::plays::{self, Figures, Played};
use rosemarygauge::load::scenarios::{Kind, Scenario, Stream};
use rosemarygauge::load::{Dispatcher, Health};
use rosemarygauge::model::Class;

fn sound(played: &Played) -> Figures {
    assert_eq!(played.scenario.bench.faults(), &[] as &[String]);
    played.figures()
}

fn dispatcher(scenario: &Scenario) -> &Dispatcher {
    match scenario.bench.side(0) {
        Side::Dispatcher(side) => side,
        Side::Naive(_) => panic!("not the naive one"),
    }
}

#[test]
fn urgent_requests_answer_while_patient_work_saturates() {
    // The caller sees its eligibility check frozen behind archiving. Patient jobs
    // arrive at more than the pool can do, and each holds a slot for 4 s. Without
    // headroom all 80 slots hold one when an urgent request arrives, and it waits
    // for one to end although it goes first in the queue.
    let alone = sound(&plays::urgent_beside_patient(Kind::Dispatcher, 1, false));
    let beside = plays::urgent_beside_patient(Kind::Dispatcher, 1, true);
    let urgent = sound(&beside);
    assert!(urgent.p99_ms <= 2 * alone.p99_ms, "{urgent:?}");
    assert_eq!(
        beside.all().good,
        beside.all().offered,
        "patient work ends too"
    );
    let naive = plays::urgent_beside_patient(Kind::Naive, 1, true).figures();
    assert!(naive.p99_ms > 10 * alone.p99_ms, "{naive:?}");
}

#[test]
fn patient_work_does_not_starve_beside_urgent_work() {
    // The weekly report never comes. Urgent requests arrive at 1.5 times what the
    // pool can do, so one is always there to go first. The guaranteed eighth of
    // 80 slots does 25 jobs of 400 ms a second; 10 arrive.
    let patient = sound(&plays::patient_beside_urgent(Kind::Dispatcher, 1));
    assert_eq!(patient.good, patient.offered);
    assert!(patient.p99_ms < 1_200, "{patient:?}");
}

#[test]
fn saturation_costs_no_goodput() {
    // At 5 times capacity all slots are busy and no caller gets an answer in time:
    // what is served has waited past its deadline. Most must be refused at the
    // door, at once, and of what is let in nearly all must be answered in time.
    let play = |factor| plays::saturation(Kind::Dispatcher, 2, 10, factor);
    let at_capacity = play(1.0).goodput_per_s(1_000, 5_000);
    for factor in [2.0, 5.0] {
        let played = play(factor);
        let figures = sound(&played);
        assert!(played.goodput_per_s(1_000, 5_000) >= 0.95 * at_capacity);
        assert!(figures.refused_late * 100 < figures.refused, "{figures:?}");
        assert!(
            figures.good * 100 >= figures.dispatches as usize * 99,
            "{figures:?}"
        );
    }
}

#[test]
fn one_caller_with_most_requests_hurts_no_other() {
    // One caller sends 90 % of three times the capacity. Served in the order of
    // arrival, nine of ten slots are its own and the others' requests time out.
    let played = plays::heavy_caller(Kind::Dispatcher, 3, 10);
    let light = sound(&played);
    assert!(light.good_part() >= 0.95, "{light:?}");
    assert!(played.goodput_per_s(1_000, 5_000) >= 0.95 * plays::capacity_per_s(10));
}

#[test]
fn a_worker_that_fails_everything_attracts_no_load() {
    // A tenth of the callers get failures at first, then nearly half: the worker
    // that fails each request within 1 ms is always the idlest of the ten.
    for idempotent in [true, false] {
        let played = plays::failing_worker(Kind::Dispatcher, 4, idempotent);
        let figures = sound(&played);
        let allowed = if idempotent { 0 } else { 12 };
        assert!(figures.failed <= allowed, "{figures:?}");
        assert_eq!(figures.good + figures.failed, figures.offered);
    }
    let naive = plays::failing_worker(Kind::Naive, 4, false).figures();
    assert!(naive.failed > naive.offered / 5, "{naive:?}");
}

#[test]
fn an_upstream_that_failed_once_or_twice_gets_its_part_again() {
    // Callers see one upstream of two do all the work for good. The other one is out
    // of reach for a moment and fails a request or two, too few to be ejected. From
    // then on it loses every comparison with one that is not busy, and as only its
    // own runs lower its failure rate, the rate stays.
    let mut failed_a_few = 0;
    for seed in 0..12 {
        let mut s = Scenario::workers(Kind::Dispatcher, seed, 2);
        s.add(0, 30_000, &Stream::new("check", Class::Urgent, 20.0, 20));
        s.bench.behave(2_000, "pool-1", Behaviour::Gone);
        let works = Behaviour::Works { slowdown: 1.0 };
        s.bench.behave(2_100, "pool-1", works);
        s.bench.run(1_999);
        let before = s.bench.sent_to("pool-1");
        s.bench.run(2_100);
        let failed = s.bench.sent_to("pool-1") - before;
        s.bench.run(10_000);
        let sent = |s: &Scenario| ["pool-0", "pool-1"].map(|name| s.bench.sent_to(name));
        let then = sent(&s);
        s.bench.run(30_000);
        let now = sent(&s);
        let [one, two] = [now[0] - then[0], now[1] - then[1]];
        assert!(
            two * 3 > one,
            "seed {seed}: {failed} failed, then {one} to {two}"
        );
        failed_a_few += u32::from((1..=2).contains(&failed));
    }
    assert!(failed_a_few >= 4, "only {failed_a_few} seeds show it");
}

#[test]
fn an_upstream_that_was_slow_for_a_moment_gets_its_part_again() {
    // Callers see one upstream of two do all the work for good. The other one was slow
    // for two seconds. From then on its run time speaks against it whenever the first is
    // not busy, and as only its own runs can show that it is fast again, it stays so.
    for seed in 0..12 {
        let mut s = Scenario::workers(Kind::Dispatcher, seed, 2);
        s.add(0, 60_000, &Stream::new("check", Class::Urgent, 40.0, 20));
        let works = |slowdown| Behaviour::Works { slowdown };
        s.bench.behave(2_000, "pool-1", works(12.0));
        s.bench.behave(4_000, "pool-1", works(1.0));
        s.bench.run(30_000);
        let sent = |s: &Scenario| ["pool-0", "pool-1"].map(|name| s.bench.sent_to(name));
        let then = sent(&s);
        s.bench.run(60_000);
        let now = sent(&s);
        let [one, two] = [now[0] - then[0], now[1] - then[1]];
        assert!(two * 3 > one, "seed {seed}: {one} to {two}");
    }
}

#[test]
fn a_slow_upstream_is_limited_and_not_ejected() {
    // One worker takes ten times as long from one moment on. By least connections
    // all its slots fill up, and each request there misses its deadline.
    let played = plays::slow_upstream(Kind::Dispatcher, 5);
    let figures = sound(&played);
    assert!(figures.offered - figures.good <= 24, "{figures:?}");
    let status = dispatcher(&played.scenario).status(12_000);
    let slow = status
        .upstreams
        .iter()
        .find(|u| u.instance.as_str() == "pool-3");
    let slow = slow.unwrap();
    assert!(slow.health == Health::Healthy && slow.slowness > 3.0 && slow.limit < 8);
    let naive = plays::slow_upstream(Kind::Naive, 5).figures();
    assert!(naive.offered - naive.good > 10 * (figures.offered - figures.good));
}

#[test]
fn long_work_does_not_hold_up_short_work_of_its_class() {
    // Requests of 2 s arrive at twice what the pool can do, beside ones of 20 ms
    // that people wait for. By order of arrival each short one waits behind all
    // long ones, and its second is over.
    let figures = sound(&plays::long_among_short(Kind::Dispatcher, 6));
    assert!(figures.good_part() >= 0.99, "{figures:?}");
    let naive = plays::long_among_short(Kind::Naive, 6).figures();
    assert!(naive.good_part() < 0.5, "{naive:?}");
}

#[test]
fn a_lost_rack_starts_no_retry_storm() {
    // Four of ten workers are gone at one moment, with all that ran there. Each
    // lost request is tried again, first on another rack, within the budget; what
    // is then sent must stay close to what was offered.
    let figures = sound(&plays::rack_lost(Kind::Dispatcher, 7));
    assert!(figures.good_part() >= 0.999, "{figures:?}");
    assert!(
        figures.dispatches as usize <= figures.offered + 100,
        "{figures:?}"
    );
    let naive = plays::rack_lost(Kind::Naive, 7).figures();
    assert!(naive.dispatches as usize > naive.offered * 5 / 4);
}

#[test]
fn a_sick_pool_keeps_half_of_its_workers_and_says_so() {
    // Something that all workers share fails for six seconds. If all were ejected
    // nobody would be left when it works again, and retries of everything would
    // triple the load. Half stay, the status says so, and callers are told at
    // once; afterwards the pool is whole again.
    let played = plays::sick_pool(Kind::Dispatcher, 8);
    let after = sound(&played);
    assert_eq!(after.good, after.offered);
    let all = played.all();
    assert!(
        all.dispatches as f64 <= all.offered as f64 * 1.01,
        "{all:?}"
    );

    let mut s = Scenario::ten_workers(Kind::Dispatcher, 8);
    let fails = Behaviour::Fails { after_ms: 5 };
    (0..10).for_each(|i| s.bench.behave(0, &format!("pool-{i}"), fails));
    s.add(100, 3_000, &Stream::new("check", Class::Urgent, 500.0, 20));
    s.bench.run(3_000);
    let status = dispatcher(&s).status(3_000);
    let ejected = |h: Health| matches!(h, Health::Ejected { .. });
    let n = status
        .upstreams
        .iter()
        .filter(|u| ejected(u.health))
        .count();
    assert_eq!((n, status.sick_pools.len()), (5, 1));
}

#[test]
fn a_burst_of_one_caller_delays_no_other() {
    // 2,000 requests come at once into a pool that is a quarter full. In the order
    // of arrival the next callers wait behind all of them.
    let calm = sound(&plays::burst(Kind::Dispatcher, 9));
    assert_eq!(calm.good, calm.offered);
    assert!(calm.p99_ms <= 60, "{calm:?}");
}

#[test]
fn two_entry_instances_come_to_share_the_slots() {
    // The first entry instance holds all slots and refills each the moment its own
    // request ends. The second hears of this late, is told `busy` again and again,
    // and its callers time out unless the first leaves slots to it.
    let late = sound(&plays::late_entry(10));
    assert!(late.good_part() >= 0.9, "{late:?}");
}

#[test]
fn a_burst_of_cancellations_leaves_nothing_behind() {
    // 10,000 callers go away at once, most of them waiting, some in flight. Each
    // waiting one is told once, each in flight keeps its slot until it ends and is
    // then dropped; the next caller finds the pool free.
    let mut s = Scenario::ten_workers(Kind::Dispatcher, 11);
    let crowd = Stream::new("archive", Class::Patient, 1.0, 400).deadline_ms(900_000);
    let ids: Vec<_> = (0..10_000).map(|_| s.add_one(0, &crowd)).collect();
    ids.iter().for_each(|id| s.bench.cancel(10, *id));
    ids.iter().for_each(|id| s.bench.cancel(11, *id));
    let next = s.add_one(700, &Stream::new("check", Class::Urgent, 1.0, 20));
    s.bench.run(2_000);
    assert_eq!(s.bench.faults(), &[] as &[String]);
    let told = ids
        .iter()
        .filter(|id| s.bench.account(id.0).unwrap().answers == 1);
    let ran = ids
        .iter()
        .filter(|id| s.bench.account(id.0).unwrap().runs == 1);
    assert_eq!((told.count(), ran.count()), (9_930, 70));
    assert!(s.bench.account(next.0).unwrap().latency_ms().unwrap() < 40);
    assert_eq!(dispatcher(&s).pending(), 0);
}
