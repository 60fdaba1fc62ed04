//! Rows, availability zones, quotas, resource fit, learned run times, and pools without
//! live upstreams.
#![allow(missing_docs, clippy::unwrap_used)]

use rosemarygauge::load::harness::{Behaviour, Worker};
use rosemarygauge::load::scenarios::{Kind, Scenario, Stream, ZONE};
use rosemarygauge::load::{
    Action, AttemptId, Dispatcher, Input, LoadSettings, Request, RequestId, RetryReason, View,
    fleets, harness::Ending,
};
use rosemarygauge::model::{
    Absence, Capacity, Class, DesiredState, RefusalReason, Row, RowKey, UpstreamReport,
    UpstreamState,
};

const ZONES: [&str; 3] = [ZONE, "amman-2", "amman-3"];

fn check(rate_per_s: f64) -> Stream {
    Stream::new("check", Class::Urgent, rate_per_s, 20)
}

/// Twelve workers in three zones.
fn three_zones() -> (View, Vec<Worker>) {
    let mut view = View::default();
    let services = vec![fleets::service("check", Class::Urgent, 20)];
    let workers = fleets::pool(&mut view, "pool", services, &ZONES, 12);
    (view, workers)
}

fn put_row(view: &mut View, zone: &str, weight: u32, limit_in_flight: u32) {
    let key = RowKey::Service {
        service: "check".into(),
        zone: zone.into(),
    };
    let row = Row {
        weight,
        limit_in_flight,
        queue_ms: 1_000,
    };
    view.rows.insert(key, row);
}

fn sent_by_zone(s: &Scenario) -> Vec<u64> {
    let of = |zone: usize| (0..12).filter(move |i| i % 3 == zone);
    let sent = |i: usize| s.bench.sent_to(&format!("pool-{i}"));
    (0..3).map(|zone| of(zone).map(sent).sum()).collect()
}

fn assert_no_faults(s: &Scenario) {
    assert_eq!(s.bench.faults(), &[] as &[String]);
}

fn refused(s: &Scenario, reason: RefusalReason) -> usize {
    let ended = s.bench.accounts().filter_map(|a| a.ended);
    ended.filter(|(_, e)| *e == Ending::Refused(reason)).count()
}

#[test]
fn the_own_zone_serves_what_arrives_there_until_it_is_full() {
    let (view, workers) = three_zones();
    let mut s = Scenario::new(Kind::Dispatcher, 1, view.clone(), workers.clone());
    s.add(0, 4_000, &check(500.0));
    s.bench.run(6_000);
    let sent = sent_by_zone(&s);
    assert_eq!((sent[1], sent[2]), (0, 0), "{sent:?}");

    // The own zone has 32 slots, enough for 1,600 requests a second; 2,400 arrive.
    let mut s = Scenario::new(Kind::Dispatcher, 1, view, workers);
    s.add(0, 4_000, &check(2_400.0).callers("caller", 20));
    s.bench.run(6_000);
    assert_no_faults(&s);
    assert!(s.bench.accounts().all(|a| a.is_good()));
    let sent = sent_by_zone(&s);
    assert!(
        sent[0] > 5_500 && sent[1] > 500 && sent[2] > 500,
        "{sent:?}"
    );
}

#[test]
fn weights_move_load_between_zones_step_by_step() {
    // An operator moves the service out of this zone. Shifted at once, the whole load
    // would hit cold upstreams. The closed row must still take effect at once.
    let (mut view, workers) = three_zones();
    put_row(&mut view, ZONE, 100, 100);
    put_row(&mut view, ZONES[1], 100, 100);
    put_row(&mut view, ZONES[2], 0, 100);
    let mut s = Scenario::new(Kind::Dispatcher, 2, view.clone(), workers);
    s.add(0, 10_000, &check(500.0));
    put_row(&mut view, ZONE, 0, 100);
    put_row(&mut view, ZONES[2], 100, 100);
    s.bench.change(2_000, view);
    s.bench.run(2_000);
    let before = sent_by_zone(&s);
    assert!(before[0] > 900 && before[2] == 0, "{before:?}");
    s.bench.run(3_000);
    let rising = sent_by_zone(&s);
    assert!(rising[0] <= before[0] + 1);
    assert!(rising[1] - before[1] > 4 * rising[2], "{rising:?}");
    // A full shift takes 4 s; after that the two zones share evenly.
    s.bench.run(6_100);
    let shifted = sent_by_zone(&s);
    s.bench.run(20_000);
    assert_no_faults(&s);
    let after = sent_by_zone(&s);
    let part = (after[2] - shifted[2]) as f64 / (after[1] - shifted[1]) as f64;
    assert!((0.85..1.15).contains(&part), "{after:?}");
    assert!(s.bench.accounts().all(|a| a.is_good()));
}

#[test]
fn a_zone_cut_off_uses_its_own_upstreams_only() {
    let (view, workers) = three_zones();
    let mut s = Scenario::new(Kind::Dispatcher, 3, view, workers);
    s.bench.fresh(0, false);
    s.add(0, 2_000, &check(2_400.0).callers("caller", 20));
    s.bench.run(5_000);
    assert_no_faults(&s);
    let sent = sent_by_zone(&s);
    assert_eq!((sent[1], sent[2]), (0, 0));
    let good = s.bench.accounts().filter(|a| a.is_good()).count();
    assert!(
        good > 3_000,
        "it serves as much as its own zone can: {good}"
    );
}

#[test]
fn a_row_is_a_ceiling_and_zero_closes() {
    let (mut view, workers) = three_zones();
    for zone in ZONES {
        put_row(&mut view, zone, 100, 4);
    }
    let mut s = Scenario::new(Kind::Dispatcher, 4, view.clone(), workers);
    s.add(0, 2_000, &check(2_000.0).callers("caller", 20));
    for zone in ZONES {
        put_row(&mut view, zone, 0, 4);
    }
    s.bench.change(1_000, view);
    s.bench.run(1_000);
    let sent: u64 = sent_by_zone(&s).iter().sum();
    assert!(
        (500..700).contains(&sent),
        "12 slots serve 600 requests a second: {sent}"
    );
    s.bench.run(3_000);
    assert_no_faults(&s);
    assert!(refused(&s, RefusalReason::RowClosed) > 1_900);
    // Queued requests were refused when the row closed, and nothing started later.
    let late = s.bench.accounts().filter_map(|a| a.ended);
    assert!(
        late.into_iter()
            .all(|(at, e)| at <= 1_040 || e == Ending::Refused(RefusalReason::RowClosed))
    );
}

#[test]
fn a_team_at_its_quota_waits_and_holds_up_nobody() {
    let mut s = Scenario::ten_workers(Kind::Dispatcher, 5);
    let (mut view, _) = three_zones();
    let services = vec![fleets::service("check", Class::Urgent, 20)];
    fleets::pool(&mut view, "pool", services, &[ZONE], 10);
    let row = Row {
        weight: 10,
        limit_in_flight: 8,
        queue_ms: 300,
    };
    let key = RowKey::Team {
        team: "greedy".into(),
    };
    view.rows.insert(key, row);
    s.bench.change(0, view);
    let mut greedy = check(1_000.0);
    greedy.team = "greedy".into();
    let ids = s.add(0, 4_000, &greedy);
    let others = s.add(0, 4_000, &check(1_000.0));
    s.bench.run(10_000);
    assert_no_faults(&s);
    let good = |ids: &[RequestId]| {
        let accounts = ids.iter().map(|id| s.bench.account(id.0).unwrap());
        accounts.filter(|a| a.is_good()).count()
    };
    assert_eq!(good(&others), others.len());
    // 8 slots at 20 ms a request serve 400 requests a second.
    assert!((1_550..1_800).contains(&good(&ids)), "{}", good(&ids));
    assert!(refused(&s, RefusalReason::TeamQuota) > 2_000);
}

/// A pool with a service of large and one of small requests, on workers of 16 cores.
fn large_and_small(large_cores: u32) -> (View, Vec<Worker>) {
    let mut view = View::default();
    let mut large = fleets::service("large", Class::Urgent, 100);
    large.demand.cores = large_cores;
    let mut small = fleets::service("check", Class::Urgent, 20);
    small.demand.cores = 2;
    let workers = fleets::pool(&mut view, "pool", vec![large, small], &[ZONE], 2);
    (view, workers)
}

#[test]
fn a_large_request_is_not_starved_by_small_ones() {
    // Starvation: small requests take each core as it is freed, so all 16 cores of one
    // worker are never free at once and the large request never starts.
    let (view, workers) = large_and_small(16);
    let mut s = Scenario::new(Kind::Dispatcher, 6, view, workers);
    s.add(
        0,
        5_000,
        &check(1_500.0).callers("caller", 10).deadline_ms(400),
    );
    let large = Stream::new("large", Class::Urgent, 2.0, 100).deadline_ms(3_000);
    let ids = s.add(500, 4_000, &large);
    s.bench.run(10_000);
    assert_no_faults(&s);
    assert!(ids.len() > 3);
    assert!(
        ids.iter()
            .all(|id| s.bench.account(id.0).unwrap().is_good())
    );
    let good = s.bench.accounts().filter(|a| a.is_good()).count();
    assert!(good > 2_000, "small requests are still served: {good}");
}

#[test]
fn what_no_instance_could_ever_carry_is_refused_at_once() {
    let (view, workers) = large_and_small(17);
    let mut s = Scenario::new(Kind::Dispatcher, 7, view, workers);
    let id = s.add_one(
        100,
        &Stream::new("large", Class::Urgent, 1.0, 100).deadline_ms(60_000),
    );
    s.bench.run(200);
    let account = s.bench.account(id.0).unwrap();
    assert_eq!(
        account.ended,
        Some((100, Ending::Refused(RefusalReason::NeverFits)))
    );
}

#[test]
fn run_times_declared_wrong_by_four_times_are_learnt() {
    // With run times declared four times too long, callers were refused beside idle
    // slots. Four times too short, the queue filled with requests that missed their
    // deadlines.
    for (declared_ms, real_ms) in [(80, 20), (20, 80)] {
        let mut view = View::default();
        let services = vec![fleets::service("check", Class::Urgent, declared_ms)];
        let workers = fleets::pool(&mut view, "pool", services, &[ZONE], 10);
        let mut s = Scenario::new(Kind::Dispatcher, 8, view, workers);
        let capacity = 80_000.0 / real_ms as f64;
        let stream = Stream::new("check", Class::Urgent, 2.0 * capacity, real_ms);
        s.add(0, 5_000, &stream.callers("caller", 30).deadline_ms(300));
        s.bench.run(10_000);
        assert_no_faults(&s);
        let good = s.bench.accounts().filter(|a| a.is_good()).count() as f64;
        assert!(good >= 0.95 * 5.0 * capacity, "{declared_ms}: {good}");
        let late = s
            .bench
            .accounts()
            .filter(|a| a.runs > 0 && !a.is_good())
            .count() as f64;
        assert!(late < 0.05 * good, "{declared_ms}: {late}");
    }
}

#[test]
fn a_pool_that_is_down_is_waited_for_no_longer_than_plausible() {
    // All upstreams stop refreshing. Queued requests are refused once the leases have
    // been expired for a second, and later requests at once, both with a retry-after
    // time.
    let mut s = Scenario::ten_workers(Kind::Dispatcher, 9);
    (0..10).for_each(|i| s.bench.behave(500, &format!("pool-{i}"), Behaviour::Gone));
    let early = s.add_one(3_500, &check(1.0).deadline_ms(60_000));
    let late = s.add_one(9_000, &check(1.0).deadline_ms(60_000));
    s.bench.run(20_000);
    assert_no_faults(&s);
    let ended = |id: RequestId| s.bench.account(id.0).unwrap().ended.unwrap();
    let no_instance = Ending::Refused(RefusalReason::NoInstance);
    assert!(
        ended(early).1 == no_instance && ended(early).0 <= 4_500,
        "{:?}",
        ended(early)
    );
    assert_eq!(ended(late), (9_000, no_instance));
}

fn report(name: &str, incarnation: u64) -> UpstreamReport {
    UpstreamReport {
        instance: name.into(),
        incarnation,
        sequence: 1,
        address: String::new(),
        zone: ZONE.into(),
        rack: "r".into(),
        pool: "pool".into(),
        capacity: Capacity {
            slots: 8,
            ..fleets::WORKER
        },
        pool_epoch: 1,
        standing: UpstreamState::Serving,
        running: 0,
        usage_age_ms: 0,
    }
}

/// A dispatcher with a pool of `n` workers of `slots` slots each, in racks of four.
fn small_pool(n: usize, slots: u32) -> (Dispatcher, View) {
    let mut view = View::default();
    let services = vec![fleets::service("check", Class::Urgent, 20)];
    fleets::pool(&mut view, "pool", services, &[ZONE], n);
    let settings = LoadSettings {
        home: ZONE.into(),
        me: "entry-0".into(),
        seed: 1,
    };
    let mut dispatcher = Dispatcher::new(settings, 0);
    dispatcher.handle(0, Input::View(view.clone()));
    for instance in view.instances.values() {
        let mut report = report(instance.name.as_str(), 1);
        report.rack = instance.rack.clone();
        report.capacity.slots = slots;
        send_report(&mut dispatcher, 0, &report);
    }
    (dispatcher, view)
}

fn send_report(dispatcher: &mut Dispatcher, now_ms: u64, report: &UpstreamReport) -> Vec<Action> {
    let lease_until_ms = now_ms + 3_000;
    let input = Input::Report {
        report,
        lease_until_ms,
    };
    dispatcher.handle(now_ms, input)
}

fn offer(dispatcher: &mut Dispatcher, now_ms: u64, id: u64, deadline_ms: u64) -> Vec<Action> {
    let request = Request {
        id: RequestId(id),
        service: "check".into(),
        class: Class::Urgent,
        team: "team".into(),
        caller: format!("caller-{id}"),
        idempotent: true,
        deadline_ms,
    };
    dispatcher.handle(now_ms, Input::Offer(request))
}

fn finish(dispatcher: &mut Dispatcher, now_ms: u64, id: u64, run_us: u64) -> Vec<Action> {
    let input = Input::Finished {
        request: RequestId(id),
        attempt: AttemptId(1),
        status: 200,
        run_us,
    };
    dispatcher.handle(now_ms, input)
}

fn lose(dispatcher: &mut Dispatcher, now_ms: u64, id: u64) -> Vec<Action> {
    let input = Input::Lost {
        request: RequestId(id),
        attempt: AttemptId(1),
        run_us: 1,
    };
    dispatcher.handle(now_ms, input)
}

fn sent(actions: &[Action]) -> Vec<&str> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Dispatch { instance, .. } => Some(instance.as_str()),
        _ => None,
    });
    sent.collect()
}

#[test]
fn a_returned_upstream_warms_up_and_a_draining_one_gets_nothing() {
    // An upstream restarts while requests wait. Eight requests at once would make it the
    // slowest, since it is cold. Attempts on its old incarnation must not count: each
    // late loss there would free a slot that was never taken.
    let (mut dispatcher, mut view) = small_pool(1, 8);
    let first: usize = (0..10)
        .map(|id| sent(&offer(&mut dispatcher, 10, id, 60_000)).len())
        .sum();
    assert_eq!(first, 8);
    assert_eq!(
        sent(&send_report(&mut dispatcher, 20, &report("pool-0", 2))).len(),
        1
    );
    assert_eq!(sent(&lose(&mut dispatcher, 25, 0)).len(), 0);
    view.instances.values_mut().for_each(|i| {
        i.duty = DesiredState::Draining {
            absence: Absence::Operator,
        }
    });
    dispatcher.handle(30, Input::View(view));
    assert_eq!(sent(&offer(&mut dispatcher, 40, 20, 60_000)).len(), 0);
}

#[test]
fn a_retry_goes_to_another_rack_first() {
    // A rack loses its switch. A retry on an upstream in the same rack is lost like the
    // first attempt, and one fault uses up all attempts of the request.
    let (mut dispatcher, _) = small_pool(8, 8);
    let rack = |name: &str| name["pool-".len()..].parse::<usize>().unwrap() / 4;
    for id in 0..10 {
        let first = offer(&mut dispatcher, 10 + id, id, 60_000);
        let second = lose(&mut dispatcher, 10 + id, id);
        assert_ne!(rack(sent(&first)[0]), rack(sent(&second)[0]));
    }
    assert!(
        dispatcher
            .status(30)
            .retries
            .contains(&(RetryReason::Lost, 10))
    );
    let decisions: Vec<String> = dispatcher
        .explain(RequestId(3))
        .iter()
        .map(|e| e.decision.to_string())
        .collect();
    let begins = [
        "queued",
        "attempt 1 to pool-",
        "tried again: lost",
        "attempt 2 to pool-",
    ];
    assert!(
        decisions.len() == 4 && decisions.iter().zip(begins).all(|(t, b)| t.starts_with(b)),
        "{decisions:?}"
    );
}

#[test]
fn what_became_too_late_while_it_waited_is_not_started() {
    // The learned run time rises while a request waits. Started anyway, it would hold a
    // slot and be answered after its deadline.
    let (mut dispatcher, _) = small_pool(1, 2);
    for id in 0..6 {
        offer(&mut dispatcher, id, id, 60_000);
        finish(&mut dispatcher, id, id, 20_000);
    }
    let running = [
        offer(&mut dispatcher, 10, 6, 60_000),
        offer(&mut dispatcher, 10, 7, 60_000),
    ];
    assert!(running.iter().all(|a| sent(a).len() == 1));
    assert_eq!(offer(&mut dispatcher, 10, 8, 110), []);
    let actions = finish(&mut dispatcher, 40, 6, 900_000);
    let is_refused = |a: &Action| {
        matches!(
            a,
            Action::Refuse {
                request: RequestId(8),
                reason: RefusalReason::Deadline,
                ..
            }
        )
    };
    assert!(
        sent(&actions).is_empty() && actions.iter().any(is_refused),
        "{actions:?}"
    );
}
