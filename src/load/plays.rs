//! The plays that tests and `measure load` share: one pattern of load each, and
//! the figures of what callers got.

use crate::model::Class;

use super::harness::{Account, Behaviour, Ending};
use super::scenarios::{Kind, Scenario, Stream, quantile};
use super::{RequestId, fleets};

/// Urgent requests a second that `n` workers can answer: 8 slots, 20 ms.
pub fn capacity_per_s(n: usize) -> f64 {
    n as f64 * 8.0 / 0.020
}

/// The same of the ten workers of most plays.
const CAPACITY_PER_S: f64 = 80.0 / 0.020;

/// What a set of requests got.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests offered.
    pub offered: usize,
    /// Whole answers before the deadline.
    pub good: usize,
    /// Answers that tell of a failure.
    pub failed: usize,
    /// Refused.
    pub refused: usize,
    /// Outcome unknown.
    pub unknown: usize,
    /// Requests sent to workers, over all attempts.
    pub dispatches: u64,
    /// Median and 99 of 100, of whole answers, in milliseconds.
    pub p50_ms: u64,
    /// See `p50_ms`.
    pub p99_ms: u64,
    /// Refused more than 50 ms after the arrival.
    pub refused_late: usize,
}

impl Figures {
    /// Part of the offered that was answered in time.
    pub fn good_part(&self) -> f64 {
        self.good as f64 / self.offered.max(1) as f64
    }

    fn of<'a>(accounts: impl Iterator<Item = &'a Account>) -> Self {
        let mut figures = Self::default();
        let mut answered = Vec::new();
        for account in accounts {
            figures.offered += 1;
            figures.good += usize::from(account.is_good());
            figures.dispatches += u64::from(account.dispatches);
            let latency_ms = account.latency_ms().unwrap_or(u64::MAX);
            match account.ended {
                Some((_, Ending::Answered)) => answered.push(latency_ms),
                Some((_, Ending::FailureAnswered)) => figures.failed += 1,
                Some((_, Ending::Refused(_))) => {
                    figures.refused += 1;
                    figures.refused_late += usize::from(latency_ms > 50);
                }
                Some((_, Ending::Unknown)) => figures.unknown += 1,
                None => {}
            }
        }
        answered.sort_unstable();
        figures.p50_ms = quantile(&answered, 0.5);
        figures.p99_ms = quantile(&answered, 0.99);
        figures
    }
}

/// A play that has been played.
#[derive(Debug)]
pub struct Played {
    /// The bench with all accounts.
    pub scenario: Scenario,
    /// The requests that are looked at.
    pub ids: Vec<RequestId>,
}

impl Played {
    fn new(mut scenario: Scenario, ids: Vec<RequestId>, until_ms: u64) -> Self {
        scenario.bench.run(until_ms);
        Self { scenario, ids }
    }

    /// What the requests that are looked at got.
    pub fn figures(&self) -> Figures {
        let account = |id: &RequestId| self.scenario.bench.account(id.0);
        Figures::of(self.ids.iter().filter_map(account))
    }

    /// Whole answers in time, a second, between two moments.
    pub fn goodput_per_s(&self, from_ms: u64, until_ms: u64) -> f64 {
        let in_time = |a: &&Account| {
            let ended = a.ended.map_or(0, |(at, _)| at);
            a.is_good() && (from_ms..until_ms).contains(&ended)
        };
        let good = self.scenario.bench.accounts().filter(in_time).count();
        good as f64 * 1_000.0 / (until_ms - from_ms) as f64
    }

    /// What all requests got.
    pub fn all(&self) -> Figures {
        Figures::of(self.scenario.bench.accounts())
    }
}

fn check(rate_per_s: f64) -> Stream {
    Stream::new("check", Class::Urgent, rate_per_s, 20)
}

/// Urgent requests at a tenth of capacity, beside patient jobs of 4 s that arrive
/// at 1.2 times what the pool can do, or alone.
pub fn urgent_beside_patient(kind: Kind, seed: u64, patient: bool) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    if patient {
        let archive = Stream::new("archive", Class::Patient, 24.0, 4_000).deadline_ms(600_000);
        s.add(0, 12_000, &archive);
    }
    let ids = s.add(2_000, 12_000, &check(400.0).deadline_ms(60_000));
    Played::new(s, ids, 120_000)
}

/// Patient jobs beside urgent requests at 1.5 times capacity.
pub fn patient_beside_urgent(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    s.add(0, 20_000, &check(1.5 * CAPACITY_PER_S).deadline_ms(500));
    let archive = Stream::new("archive", Class::Patient, 10.0, 400).deadline_ms(60_000);
    let ids = s.add(0, 20_000, &archive);
    Played::new(s, ids, 90_000)
}

/// Urgent requests of 50 callers at `factor` times the capacity of `n` workers,
/// for 5 s. The naive queue takes minutes with ten.
pub fn saturation(kind: Kind, seed: u64, n: usize, factor: f64) -> Played {
    let mut s = Scenario::workers(kind, seed, n);
    let stream = check(factor * capacity_per_s(n)).callers("caller", 50);
    let ids = s.add(0, 5_000, &stream.deadline_ms(500));
    Played::new(s, ids, 20_000)
}

/// Three times the capacity of `n` workers, 90 % of it from one caller; the nine
/// others send a third of their fair part each and are looked at.
pub fn heavy_caller(kind: Kind, seed: u64, n: usize) -> Played {
    let mut s = Scenario::workers(kind, seed, n);
    let total = 3.0 * capacity_per_s(n);
    let heavy = check(0.9 * total).callers("heavy", 1).deadline_ms(500);
    let light = check(0.1 * total).callers("light", 9).deadline_ms(500);
    s.add(0, 5_000, &heavy);
    let ids = s.add(0, 5_000, &light);
    Played::new(s, ids, 20_000)
}

/// Half of capacity; after 2 s one worker fails everything within 1 ms.
pub fn failing_worker(kind: Kind, seed: u64, idempotent: bool) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let mut stream = check(0.5 * CAPACITY_PER_S);
    stream.idempotent = idempotent;
    let stream = stream.callers("caller", 50);
    let ids = s.add(0, 12_000, &stream);
    s.bench
        .behave(2_000, "pool-3", Behaviour::Fails { after_ms: 1 });
    Played::new(s, ids, 60_000)
}

/// Seven tenths of capacity; after 2 s one worker takes ten times as long.
pub fn slow_upstream(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let stream = check(0.7 * CAPACITY_PER_S).callers("caller", 50);
    let ids = s.add(0, 12_000, &stream.deadline_ms(150));
    let slow = Behaviour::Works { slowdown: 10.0 };
    s.bench.behave(2_000, "pool-3", slow);
    Played::new(s, ids, 60_000)
}

/// Two services of one class: `long` takes 2 s and arrives at twice what the
/// pool can do, `short` takes 20 ms, has a deadline, and is looked at.
pub fn long_among_short(kind: Kind, seed: u64) -> Played {
    let mut view = super::View::default();
    let services = vec![
        fleets::service("short", Class::Urgent, 20),
        fleets::service("long", Class::Urgent, 2_000),
    ];
    let zone = super::scenarios::ZONE;
    let workers = fleets::pool(&mut view, "pool", services, &[zone], 10);
    let mut s = Scenario::new(kind, seed, view, workers);
    let long = Stream::new("long", Class::Urgent, 80.0, 2_000).deadline_ms(30_000);
    let short = Stream::new("short", Class::Urgent, 400.0, 20);
    s.add(0, 15_000, &long);
    let ids = s.add(3_000, 15_000, &short.deadline_ms(1_000));
    Played::new(s, ids, 120_000)
}

/// Six tenths of capacity; at 2 s a rack of four workers is gone for good.
pub fn rack_lost(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let stream = check(0.55 * CAPACITY_PER_S).callers("caller", 50);
    let ids = s.add(0, 10_000, &stream);
    for i in 0..4 {
        let worker = format!("pool-{i}");
        s.bench.behave(2_000, &worker, Behaviour::Gone);
    }
    Played::new(s, ids, 60_000)
}

/// Half of capacity; from 2 s to 8 s all workers fail everything in 5 ms.
pub fn sick_pool(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let stream = check(0.5 * CAPACITY_PER_S).callers("caller", 50);
    s.add(0, 14_000, &stream);
    let ids = s.add(14_000, 24_000, &stream);
    let well = Behaviour::Works { slowdown: 1.0 };
    for i in 0..10 {
        let worker = format!("pool-{i}");
        s.bench
            .behave(2_000, &worker, Behaviour::Fails { after_ms: 5 });
        s.bench.behave(8_000, &worker, well);
    }
    Played::new(s, ids, 60_000)
}

/// Two entry instances in front of ten workers: the first is saturated from the
/// start, the second asks for a quarter of capacity from 2 s on; its requests are
/// looked at.
pub fn late_entry(seed: u64) -> Played {
    let mut s = Scenario::ten_workers_and(2, seed);
    let crowd = check(2.0 * CAPACITY_PER_S).callers("crowd", 20);
    let late = check(0.25 * CAPACITY_PER_S).callers("late", 20);
    s.add_at(0, 0, 6_000, &crowd.deadline_ms(500));
    let ids = s.add_at(1, 2_000, 6_000, &late.deadline_ms(500));
    Played::new(s, ids, 30_000)
}

/// A quarter of capacity, and 2,000 requests at once at 2 s.
pub fn burst(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let calm = check(0.25 * CAPACITY_PER_S).callers("calm", 10);
    let ids = s.add(0, 6_000, &calm.deadline_ms(300));
    let crowd = check(1.0).callers("crowd", 1).deadline_ms(300);
    for _ in 0..2_000 {
        s.add_one(2_000, &crowd);
    }
    Played::new(s, ids, 60_000)
}
