//! What callers get under each pattern of load, played on the bench.
#![allow(missing_docs, clippy::unwrap_used)]

use rosemarygauge::load::RequestId;
use rosemarygauge::load::harness::Account;
use rosemarygauge::load::scenarios::{Kind, Scenario, Stream, quantile};
use rosemarygauge::model::Class;

/// Capacity of `Scenario::ten_workers` in urgent requests a second.
const CAPACITY_PER_S: f64 = 80.0 / 0.020;

fn of<'a>(scenario: &'a Scenario, ids: &[RequestId]) -> Vec<&'a Account> {
    ids.iter()
        .map(|id| scenario.bench.account(id.0).unwrap())
        .collect()
}

fn good(accounts: &[&Account]) -> usize {
    accounts.iter().filter(|a| a.is_good()).count()
}

fn p99(accounts: &[&Account]) -> u64 {
    let mut all: Vec<u64> = accounts.iter().filter_map(|a| a.latency_ms()).collect();
    all.sort_unstable();
    quantile(&all, 0.99)
}

fn no_faults(scenario: &Scenario) {
    assert_eq!(scenario.bench.faults(), &[] as &[String]);
}

#[test]
fn urgent_requests_answer_while_patient_work_saturates() {
    // The caller sees its eligibility check frozen behind archiving. Patient jobs
    // arrive at twice what the pool can do; each holds a slot for 400 ms. Without
    // headroom all 80 slots hold one when an urgent request arrives, and it waits
    // although it goes first in the queue.
    let run = |kind, patient: bool| {
        let mut s = Scenario::ten_workers(kind, 1);
        if patient {
            let archive = Stream::new("archive", Class::Patient, 400.0, 400).deadline_ms(600_000);
            s.add(0, 20_000, &archive);
        }
        let check = Stream::new("check", Class::Urgent, 400.0, 20).deadline_ms(60_000);
        let ids = s.add(2_000, 20_000, &check);
        s.bench.run(200_000);
        no_faults(&s);
        p99(&of(&s, &ids))
    };
    let calm = run(Kind::Dispatcher, false);
    let busy = run(Kind::Dispatcher, true);
    let naive = run(Kind::Naive, true);
    println!("{calm} {busy} {naive}");
    assert!(busy <= 2 * calm, "{busy} ms beside {calm} ms");
    assert!(
        naive > 10 * calm,
        "the baseline shows the fault: {naive} ms"
    );
}

#[test]
fn saturation_keeps_goodput() {
    let good_at = |factor: f64| {
        let mut s = Scenario::ten_workers(Kind::Dispatcher, 2);
        let check = Stream::new("check", Class::Urgent, factor * CAPACITY_PER_S, 20)
            .callers("caller", 50)
            .deadline_ms(500);
        let ids = s.add(0, 5_000, &check);
        s.bench.run(20_000);
        no_faults(&s);
        good(&of(&s, &ids))
    };
    let at_capacity = good_at(1.0);
    let at2 = good_at(2.0);
    let at5 = good_at(5.0);
    println!("{at_capacity} {at2} {at5}");
    assert!(at2 as f64 >= 0.95 * at_capacity as f64);
    assert!(at5 as f64 >= 0.95 * at_capacity as f64);
}
