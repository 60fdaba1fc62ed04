//! Builders for simulated fleets and request streams, shared by the tests and
//! `measure load`.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::{Class, WorkspaceName};

use super::fleets;
use super::harness::{Harness, Side, Worker};
use super::{Dispatcher, LoadSettings, Naive, Request, RequestId, View};

/// A stream of requests with Poisson arrivals.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Service that the requests call.
    pub service: &'static str,
    /// Class of the requests.
    pub class: Class,
    /// Callers, each of which sends an equal share on average.
    pub callers: Vec<String>,
    /// Team of all callers.
    pub team: WorkspaceName,
    /// Mean rate, in requests per second.
    pub rate_per_s: f64,
    /// Mean run time in milliseconds; single run times vary by up to half of it in
    /// both directions.
    pub run_ms: u64,
    /// Time from arrival to the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}

impl Stream {
    /// Returns a stream of idempotent requests of one caller, with a deadline of 1 s.
    pub fn new(service: &'static str, class: Class, rate_per_s: f64, run_ms: u64) -> Self {
        Self {
            service,
            class,
            callers: vec!["caller".to_owned()],
            team: "team".into(),
            rate_per_s,
            run_ms,
            deadline_ms: 1_000,
            idempotent: true,
        }
    }

    /// Sets `n` callers with the names `prefix-0`, `prefix-1` and so on.
    pub fn callers(mut self, prefix: &str, n: usize) -> Self {
        self.callers = (0..n).map(|i| format!("{prefix}-{i}")).collect();
        self
    }

    /// Sets the time from arrival to the deadline, in milliseconds.
    pub fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Marks the requests as not idempotent.
    pub fn not_repeatable(mut self) -> Self {
        self.idempotent = false;
        self
    }
}

/// Which dispatcher a simulation runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The production dispatcher.
    Dispatcher,
    /// The naive baseline.
    Naive,
}

/// A simulation to which streams of requests are added before it runs.
#[derive(Debug)]
pub struct Scenario {
    /// The simulation.
    pub bench: Harness,
    rng: ChaCha8Rng,
    next_id: u64,
}

/// Availability zone of the entry instances in every scenario.
pub const ZONE: &str = "amman-1";

/// Returns a new dispatcher of the given kind for the entry instance `me`.
pub fn side(kind: Kind, me: &str, seed: u64) -> Side {
    match kind {
        Kind::Naive => Side::Naive(Box::new(Naive::new(ZONE.into()))),
        Kind::Dispatcher => {
            let settings = LoadSettings {
                home: ZONE.into(),
                me: me.into(),
                seed,
            };
            Side::Dispatcher(Box::new(Dispatcher::new(settings, 0)))
        }
    }
}

impl Scenario {
    /// Returns a simulation of one entry instance in front of the given fleet.
    pub fn new(kind: Kind, seed: u64, view: View, workers: Vec<Worker>) -> Self {
        let dispatchers = vec![side(kind, "entry-0", seed)];
        Self {
            bench: Harness::new(view, workers, dispatchers),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            next_id: 0,
        }
    }

    /// Returns a simulation of ten workers with eight slots each, which serve an
    /// urgent service `check` (20 ms) and a patient service `archive` (400 ms).
    pub fn ten_workers(kind: Kind, seed: u64) -> Self {
        Self::workers(kind, seed, 10)
    }

    /// Returns the same simulation as [`ten_workers`](Self::ten_workers) with `n`
    /// workers.
    pub fn workers(kind: Kind, seed: u64, n: usize) -> Self {
        let mut view = View::default();
        let services = vec![
            fleets::service("check", Class::Urgent, 20),
            fleets::service("archive", Class::Patient, 400),
        ];
        let workers = fleets::pool(&mut view, "pool", services, &[ZONE], n);
        Self::new(kind, seed, view, workers)
    }

    /// Returns a simulation of ten workers that serve `check` behind `n` entry
    /// instances.
    pub fn ten_workers_with_entries(n: usize, seed: u64) -> Self {
        let mut view = View::default();
        let services = vec![fleets::service("check", Class::Urgent, 20)];
        let workers = fleets::pool(&mut view, "pool", services, &[ZONE], 10);
        let dispatchers =
            (0..n).map(|i| side(Kind::Dispatcher, &format!("entry-{i}"), seed + i as u64));
        Self {
            bench: Harness::new(view, workers, dispatchers.collect()),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            next_id: 0,
        }
    }

    /// Adds a stream at the first entry instance and returns the ids of its requests.
    pub fn add(&mut self, from_ms: u64, until_ms: u64, stream: &Stream) -> Vec<RequestId> {
        self.add_at(0, from_ms, until_ms, stream)
    }

    /// Adds a stream at the entry instance with index `entry` and returns the ids of
    /// its requests.
    pub fn add_at(
        &mut self,
        entry: usize,
        from_ms: u64,
        until_ms: u64,
        stream: &Stream,
    ) -> Vec<RequestId> {
        let mut arrival_ms = from_ms as f64;
        let mut ids = Vec::new();
        loop {
            let gap: f64 = -(1.0 - self.rng.random::<f64>()).ln();
            arrival_ms += gap * 1_000.0 / stream.rate_per_s;
            if arrival_ms >= until_ms as f64 {
                return ids;
            }
            ids.push(self.add_one_at(entry, arrival_ms as u64, stream));
        }
    }

    /// Adds one request of a stream at the first entry instance.
    pub fn add_one(&mut self, at_ms: u64, stream: &Stream) -> RequestId {
        self.add_one_at(0, at_ms, stream)
    }

    fn add_one_at(&mut self, entry: usize, at_ms: u64, stream: &Stream) -> RequestId {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let caller = self.rng.random_range(0..stream.callers.len());
        let factor = self.rng.random_range(0.5..1.5);
        let request = Request {
            id,
            service: stream.service.into(),
            class: stream.class,
            team: stream.team.clone(),
            caller: stream.callers[caller].clone(),
            idempotent: stream.idempotent,
            deadline_ms: at_ms + stream.deadline_ms,
        };
        let run_ms = (stream.run_ms as f64 * factor) as u64;
        self.bench.offer(at_ms, entry, request, run_ms.max(1));
        id
    }
}

/// Returns the `q`-quantile of the sorted values, or 0 if there are none.
pub fn quantile(sorted: &[u64], q: f64) -> u64 {
    let index = (sorted.len() as f64 * q) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}
