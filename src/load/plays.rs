//! Load scenarios that the tests and `measure load` share. Each function simulates
//! one pattern of load and returns the outcomes from which figures are computed.

use crate::model::Class;

use super::harness::{Account, Behaviour, Ending};
use super::scenarios::{Kind, Scenario, Stream, quantile};
use super::{RequestId, fleets};

/// Returns the urgent requests per second that `n` workers can answer, each with 8
/// slots and a run time of 20 ms.
pub fn capacity_per_s(n: usize) -> f64 {
    n as f64 * 8.0 / 0.020
}

/// Urgent requests per second that the ten workers of most scenarios can answer.
const TEN_WORKERS_CAPACITY_PER_S: f64 = 80.0 / 0.020;

/// Outcomes of a set of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests offered.
    pub offered: usize,
    /// Complete answers before the deadline.
    pub good: usize,
    /// Answers that report a failure.
    pub failed: usize,
    /// Requests refused.
    pub refused: usize,
    /// Requests whose outcome is unknown.
    pub unknown: usize,
    /// Attempts sent to workers.
    pub dispatches: u64,
    /// Median latency of complete answers, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the latency of complete answers, in milliseconds.
    pub p99_ms: u64,
    /// Requests refused more than 50 ms after their arrival.
    pub refused_late: usize,
}

impl Figures {
    /// Returns the fraction of the offered requests that was answered in time.
    pub fn good_part(&self) -> f64 {
        self.good as f64 / self.offered.max(1) as f64
    }

    fn from_accounts<'a>(accounts: impl Iterator<Item = &'a Account>) -> Self {
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

/// A scenario after its simulation.
#[derive(Debug)]
pub struct Played {
    /// The scenario, with the accounts of all requests.
    pub scenario: Scenario,
    /// The requests that the figures cover.
    pub ids: Vec<RequestId>,
}

impl Played {
    fn new(mut scenario: Scenario, ids: Vec<RequestId>, until_ms: u64) -> Self {
        scenario.bench.run(until_ms);
        Self { scenario, ids }
    }

    /// Returns the outcomes of the requests in `ids`.
    pub fn figures(&self) -> Figures {
        let account = |id: &RequestId| self.scenario.bench.account(id.0);
        Figures::from_accounts(self.ids.iter().filter_map(account))
    }

    /// Returns the complete answers in time per second, from `from_ms` up to, but not
    /// including, `until_ms`.
    pub fn goodput_per_s(&self, from_ms: u64, until_ms: u64) -> f64 {
        let in_time = |a: &&Account| {
            let ended = a.ended.map_or(0, |(at, _)| at);
            a.is_good() && (from_ms..until_ms).contains(&ended)
        };
        let good = self.scenario.bench.accounts().filter(in_time).count();
        good as f64 * 1_000.0 / (until_ms - from_ms) as f64
    }

    /// Returns the outcomes of all requests.
    pub fn all(&self) -> Figures {
        Figures::from_accounts(self.scenario.bench.accounts())
    }
}

fn check_stream(rate_per_s: f64) -> Stream {
    Stream::new("check", Class::Urgent, rate_per_s, 20)
}

/// Simulates urgent requests at a tenth of capacity, alone or, with `patient`,
/// beside patient jobs of 4 s that arrive at 1.2 times the pool's capacity.
pub fn urgent_beside_patient(kind: Kind, seed: u64, patient: bool) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    if patient {
        let archive = Stream::new("archive", Class::Patient, 24.0, 4_000).deadline_ms(600_000);
        s.add(0, 12_000, &archive);
    }
    let ids = s.add(2_000, 12_000, &check_stream(400.0).deadline_ms(60_000));
    Played::new(s, ids, 120_000)
}

/// Simulates patient jobs beside urgent requests at 1.5 times capacity.
pub fn patient_beside_urgent(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    s.add(
        0,
        20_000,
        &check_stream(1.5 * TEN_WORKERS_CAPACITY_PER_S).deadline_ms(500),
    );
    let archive = Stream::new("archive", Class::Patient, 10.0, 400).deadline_ms(60_000);
    let ids = s.add(0, 20_000, &archive);
    Played::new(s, ids, 90_000)
}

/// Simulates urgent requests of 50 callers at `factor` times the capacity of `n`
/// workers, for 5 s. The naive queue takes minutes of real time with ten workers.
pub fn saturation(kind: Kind, seed: u64, n: usize, factor: f64) -> Played {
    let mut s = Scenario::workers(kind, seed, n);
    let stream = check_stream(factor * capacity_per_s(n)).callers("caller", 50);
    let ids = s.add(0, 5_000, &stream.deadline_ms(500));
    Played::new(s, ids, 20_000)
}

/// Simulates load at three times the capacity of `n` workers, 90 % of it from one
/// caller. The figures cover the nine others, which send a third of their fair
/// share each.
pub fn heavy_caller(kind: Kind, seed: u64, n: usize) -> Played {
    let mut s = Scenario::workers(kind, seed, n);
    let total = 3.0 * capacity_per_s(n);
    let heavy = check_stream(0.9 * total)
        .callers("heavy", 1)
        .deadline_ms(500);
    let light = check_stream(0.1 * total)
        .callers("light", 9)
        .deadline_ms(500);
    s.add(0, 5_000, &heavy);
    let ids = s.add(0, 5_000, &light);
    Played::new(s, ids, 20_000)
}

/// Simulates load at half of capacity. After 2 s one worker fails every request
/// within 1 ms.
pub fn failing_worker(kind: Kind, seed: u64, idempotent: bool) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let mut stream = check_stream(0.5 * TEN_WORKERS_CAPACITY_PER_S);
    stream.idempotent = idempotent;
    let stream = stream.callers("caller", 50);
    let ids = s.add(0, 12_000, &stream);
    s.bench
        .behave(2_000, "pool-3", Behaviour::Fails { after_ms: 1 });
    Played::new(s, ids, 60_000)
}

/// Simulates load at 70 % of capacity. After 2 s one worker takes ten times as long.
pub fn slow_upstream(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let stream = check_stream(0.7 * TEN_WORKERS_CAPACITY_PER_S).callers("caller", 50);
    let ids = s.add(0, 12_000, &stream.deadline_ms(150));
    let slow = Behaviour::Works { slowdown: 10.0 };
    s.bench.behave(2_000, "pool-3", slow);
    Played::new(s, ids, 60_000)
}

/// Simulates two services of one class: `long` takes 2 s and arrives at twice the
/// pool's capacity; `short` takes 20 ms and has a deadline of 1 s. The figures cover
/// `short`.
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

/// Simulates load at 55 % of capacity. At 2 s a rack of four workers is lost for
/// good.
pub fn rack_lost(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let stream = check_stream(0.55 * TEN_WORKERS_CAPACITY_PER_S).callers("caller", 50);
    let ids = s.add(0, 10_000, &stream);
    for i in 0..4 {
        let worker = format!("pool-{i}");
        s.bench.behave(2_000, &worker, Behaviour::Gone);
    }
    Played::new(s, ids, 60_000)
}

/// Simulates load at half of capacity. From 2 s to 8 s all workers fail every
/// request in 5 ms. The figures cover the requests from 14 s on.
pub fn sick_pool(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let stream = check_stream(0.5 * TEN_WORKERS_CAPACITY_PER_S).callers("caller", 50);
    s.add(0, 14_000, &stream);
    let ids = s.add(14_000, 24_000, &stream);
    let healthy = Behaviour::Works { slowdown: 1.0 };
    for i in 0..10 {
        let worker = format!("pool-{i}");
        s.bench
            .behave(2_000, &worker, Behaviour::Fails { after_ms: 5 });
        s.bench.behave(8_000, &worker, healthy);
    }
    Played::new(s, ids, 60_000)
}

/// Simulates two entry instances in front of ten workers. The first is saturated
/// from the start; the second needs a quarter of capacity from 2 s on. The figures
/// cover the requests of the second.
pub fn late_entry(seed: u64) -> Played {
    let mut s = Scenario::ten_workers_with_entries(2, seed);
    let crowd = check_stream(2.0 * TEN_WORKERS_CAPACITY_PER_S).callers("crowd", 20);
    let late = check_stream(0.25 * TEN_WORKERS_CAPACITY_PER_S).callers("late", 20);
    s.add_at(0, 0, 6_000, &crowd.deadline_ms(500));
    let ids = s.add_at(1, 2_000, 6_000, &late.deadline_ms(500));
    Played::new(s, ids, 30_000)
}

/// Simulates load at a quarter of capacity, and 2,000 requests of one more caller at
/// once at 2 s. The figures cover the steady load.
pub fn burst(kind: Kind, seed: u64) -> Played {
    let mut s = Scenario::ten_workers(kind, seed);
    let calm = check_stream(0.25 * TEN_WORKERS_CAPACITY_PER_S).callers("calm", 10);
    let ids = s.add(0, 6_000, &calm.deadline_ms(300));
    let crowd = check_stream(1.0).callers("crowd", 1).deadline_ms(300);
    for _ in 0..2_000 {
        s.add_one(2_000, &crowd);
    }
    Played::new(s, ids, 60_000)
}
