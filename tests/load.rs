//! Checks the outcomes for callers under each pattern of load, in the simulation.
#![allow(missing_docs, clippy::unwrap_used)]

use rosemarygauge::load::harness::{Behaviour, Side};
use rosemarygauge::load::plays::{self, Figures, Played};
use rosemarygauge::load::scenarios::{Kind, Scenario, Stream};
use rosemarygauge::load::{Dispatcher, Health};
use rosemarygauge::model::Class;

fn figures_without_violations(played: &Played) -> Figures {
    assert_eq!(played.scenario.bench.faults(), &[] as &[String]);
    played.figures()
}

fn dispatcher(scenario: &Scenario) -> &Dispatcher {
    match scenario.bench.side(0) {
        Side::Dispatcher(dispatcher) => dispatcher,
        Side::Naive(_) => panic!("the test runs the production dispatcher"),
    }
}

#[test]
fn urgent_requests_answer_while_patient_work_saturates() {
    // Guards against urgent requests that wait for patient jobs to end. Patient jobs
    // arrive above the pool's capacity, and each occupies a slot for 4 s. Without
    // headroom they occupy all 80 slots when an urgent request arrives; although it
    // is first in the queue, it has to wait until one ends.
    let alone =
        figures_without_violations(&plays::urgent_beside_patient(Kind::Dispatcher, 1, false));
    let beside = plays::urgent_beside_patient(Kind::Dispatcher, 1, true);
    let urgent = figures_without_violations(&beside);
    assert!(urgent.p99_ms <= 2 * alone.p99_ms, "{urgent:?}");
    assert_eq!(
        beside.all().good,
        beside.all().offered,
        "not all patient jobs were answered in time"
    );
    let naive = plays::urgent_beside_patient(Kind::Naive, 1, true).figures();
    assert!(naive.p99_ms > 10 * alone.p99_ms, "{naive:?}");
}

#[test]
fn patient_work_does_not_starve_beside_urgent_work() {
    // Guards against starvation of patient jobs. Urgent requests arrive at 1.5 times
    // the pool's capacity, so one with priority is always queued. The eighth of the
    // 80 slots that is guaranteed to patient work handles 25 jobs of 400 ms per
    // second; 10 arrive.
    let patient = figures_without_violations(&plays::patient_beside_urgent(Kind::Dispatcher, 1));
    assert_eq!(patient.good, patient.offered);
    assert!(patient.p99_ms < 1_200, "{patient:?}");
}

#[test]
fn saturation_costs_no_goodput() {
    // Guards against congestion collapse: at 5 times capacity all slots are busy, but
    // the requests served have waited past their deadlines. Most requests must be
    // refused on arrival, and nearly all admitted ones must be answered in time.
    let play = |factor| plays::saturation(Kind::Dispatcher, 2, 10, factor);
    let at_capacity = play(1.0).goodput_per_s(1_000, 5_000);
    for factor in [2.0, 5.0] {
        let played = play(factor);
        let figures = figures_without_violations(&played);
        assert!(played.goodput_per_s(1_000, 5_000) >= 0.95 * at_capacity);
        assert!(figures.refused_late * 100 < figures.refused, "{figures:?}");
        assert!(
            figures.good * 100 >= figures.dispatches as usize * 99,
            "{figures:?}"
        );
    }
}

#[test]
fn one_caller_with_most_requests_starves_no_other() {
    // Guards against unfair queueing. One caller sends 90 % of a load of three times
    // the capacity. Served in order of arrival, it occupies nine of ten slots, and
    // the other callers' requests time out.
    let played = plays::heavy_caller(Kind::Dispatcher, 3, 10);
    let light = figures_without_violations(&played);
    assert!(light.good_part() >= 0.95, "{light:?}");
    assert!(played.goodput_per_s(1_000, 5_000) >= 0.95 * plays::capacity_per_s(10));
}

#[test]
fn a_worker_that_fails_everything_attracts_no_load() {
    // Guards against a failing worker that attracts load. A worker that fails each
    // request within 1 ms is always the least loaded of the ten, so the failures grow
    // from a tenth of the requests to nearly half.
    for idempotent in [true, false] {
        let played = plays::failing_worker(Kind::Dispatcher, 4, idempotent);
        let figures = figures_without_violations(&played);
        let allowed = if idempotent { 0 } else { 12 };
        assert!(figures.failed <= allowed, "{figures:?}");
        assert_eq!(figures.good + figures.failed, figures.offered);
    }
    let naive = plays::failing_worker(Kind::Naive, 4, false).figures();
    assert!(naive.failed > naive.offered / 5, "{naive:?}");
}

#[test]
fn an_upstream_regains_its_share_after_one_or_two_failures() {
    // Guards against an upstream that gets no more requests after one or two failures.
    // One of two upstreams is unreachable for 100 ms and fails too few requests to be
    // ejected. It then loses every comparison with an upstream that is not busy, and
    // since only its own runs lower its failure rate, the rate never recovers.
    let mut seeds_with_few_failures = 0;
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
        let sent_before = sent(&s);
        s.bench.run(30_000);
        let sent_at_end = sent(&s);
        let [one, two] = [
            sent_at_end[0] - sent_before[0],
            sent_at_end[1] - sent_before[1],
        ];
        assert!(
            two * 3 > one,
            "seed {seed}: {failed} failed, then {one} requests to pool-0 and {two} to pool-1"
        );
        seeds_with_few_failures += u32::from((1..=2).contains(&failed));
    }
    assert!(
        seeds_with_few_failures >= 4,
        "only {seeds_with_few_failures} seeds had one or two failures"
    );
}

#[test]
fn an_upstream_regains_its_share_after_it_was_slow() {
    // Guards against an upstream that gets no more requests after it was slow. One of
    // two upstreams is slow for two seconds. Its measured run time then loses every
    // comparison while the other is not busy, and since only its own runs can show
    // that it is fast again, the measurement never recovers.
    for seed in 0..12 {
        let mut s = Scenario::workers(Kind::Dispatcher, seed, 2);
        s.add(0, 60_000, &Stream::new("check", Class::Urgent, 40.0, 20));
        let works = |slowdown| Behaviour::Works { slowdown };
        s.bench.behave(2_000, "pool-1", works(12.0));
        s.bench.behave(4_000, "pool-1", works(1.0));
        s.bench.run(30_000);
        let sent = |s: &Scenario| ["pool-0", "pool-1"].map(|name| s.bench.sent_to(name));
        let sent_before = sent(&s);
        s.bench.run(60_000);
        let sent_at_end = sent(&s);
        let [one, two] = [
            sent_at_end[0] - sent_before[0],
            sent_at_end[1] - sent_before[1],
        ];
        assert!(
            two * 3 > one,
            "seed {seed}: {one} requests to pool-0 and {two} to pool-1"
        );
    }
}

#[test]
fn a_slow_upstream_is_limited_and_not_ejected() {
    // Guards against requests that pile up at a slow worker. One worker becomes ten
    // times slower. With least connections all its slots fill up, and each request
    // there misses its deadline.
    let played = plays::slow_upstream(Kind::Dispatcher, 5);
    let figures = figures_without_violations(&played);
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
    // Guards against head-of-line blocking. Requests of 2 s arrive at twice the pool's
    // capacity, beside interactive ones of 20 ms. In order of arrival each short
    // request waits behind all long ones and misses its deadline of one second.
    let figures = figures_without_violations(&plays::long_among_short(Kind::Dispatcher, 6));
    assert!(figures.good_part() >= 0.99, "{figures:?}");
    let naive = plays::long_among_short(Kind::Naive, 6).figures();
    assert!(naive.good_part() < 0.5, "{naive:?}");
}

#[test]
fn a_lost_rack_starts_no_retry_storm() {
    // Guards against a retry storm. Four of ten workers are lost at once, with all
    // requests that ran there. Each lost request is retried, first on another rack,
    // within the retry budget; the attempts must stay close to the requests offered.
    let figures = figures_without_violations(&plays::rack_lost(Kind::Dispatcher, 7));
    assert!(figures.good_part() >= 0.999, "{figures:?}");
    assert!(
        figures.dispatches as usize <= figures.offered + 100,
        "{figures:?}"
    );
    let naive = plays::rack_lost(Kind::Naive, 7).figures();
    assert!(naive.dispatches as usize > naive.offered * 5 / 4);
}

#[test]
fn a_failing_pool_keeps_half_of_its_workers_and_is_reported() {
    // Guards against ejecting a whole pool. A dependency that all workers share fails
    // for six seconds. If all workers were ejected, none would be left when it
    // recovers, and retries of all requests would triple the load. Half must stay, the
    // status must report the pool, and all later requests must be answered.
    let played = plays::sick_pool(Kind::Dispatcher, 8);
    let after = figures_without_violations(&played);
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
    // Guards against a burst that delays other callers. 2,000 requests of one caller
    // arrive at once while the pool is at a quarter of its capacity. In order of
    // arrival, the requests of the other callers wait behind all of them.
    let calm = figures_without_violations(&plays::burst(Kind::Dispatcher, 9));
    assert_eq!(calm.good, calm.offered);
    assert!(calm.p99_ms <= 60, "{calm:?}");
}

#[test]
fn two_entry_instances_share_the_slots() {
    // Guards against an entry instance that starves another. The first one occupies
    // all slots and refills each as soon as its own request ends. The second learns
    // of the load late and is refused as `busy` repeatedly; its callers time out
    // unless the first one leaves slots free.
    let late = figures_without_violations(&plays::late_entry(10));
    assert!(late.good_part() >= 0.9, "{late:?}");
}

#[test]
fn a_burst_of_cancellations_leaks_no_slot_or_request() {
    // Guards against slots and requests that leak on cancellation. 10,000 requests are
    // cancelled at once, most of them queued, some in flight. Each queued one is
    // answered once; each one in flight keeps its slot until it ends and is then
    // dropped. The next request must find free slots.
    let mut s = Scenario::ten_workers(Kind::Dispatcher, 11);
    let crowd = Stream::new("archive", Class::Patient, 1.0, 400).deadline_ms(900_000);
    let ids: Vec<_> = (0..10_000).map(|_| s.add_one(0, &crowd)).collect();
    ids.iter().for_each(|id| s.bench.cancel(10, *id));
    ids.iter().for_each(|id| s.bench.cancel(11, *id));
    let next = s.add_one(700, &Stream::new("check", Class::Urgent, 1.0, 20));
    s.bench.run(2_000);
    assert_eq!(s.bench.faults(), &[] as &[String]);
    let answered_once = ids
        .iter()
        .filter(|id| s.bench.account(id.0).unwrap().answers == 1);
    let ran_once = ids
        .iter()
        .filter(|id| s.bench.account(id.0).unwrap().runs == 1);
    assert_eq!((answered_once.count(), ran_once.count()), (9_930, 70));
    assert!(s.bench.account(next.0).unwrap().latency_ms().unwrap() < 40);
    assert_eq!(dispatcher(&s).pending(), 0);
}
