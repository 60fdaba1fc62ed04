//! Patterns of load for the bench, the same for tests and `measure load`.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::model::{Class, TeamName};

use super::fleets;
use super::harness::{Harness, Side, Worker};
use super::{Dispatcher, LoadSettings, Naive, Request, RequestId, View};

/// A stream of requests with random gaps (Poisson).
#[derive(Clone, Debug)]
pub struct Stream {
    /// The service.
    pub service: &'static str,
    /// Class of its requests.
    pub class: Class,
    /// Who sends, evenly.
    pub callers: Vec<String>,
    /// Whose team they are.
    pub team: TeamName,
    /// Mean rate.
    pub rate_per_s: f64,
    /// Mean run time; single ones vary by half of it both ways.
    pub run_ms: u64,
    /// Time to the deadline.
    pub deadline_ms: u64,
    /// Whether they may run twice.
    pub idempotent: bool,
}

impl Stream {
    /// Repeatable requests of one caller.
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

    /// Names its callers `prefix-0` and so on.
    pub fn callers(mut self, prefix: &str, n: usize) -> Self {
        self.callers = (0..n).map(|i| format!("{prefix}-{i}")).collect();
        self
    }

    /// Sets its deadline.
    pub fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Marks its requests as not repeatable.
    pub fn not_repeatable(mut self) -> Self {
        self.idempotent = false;
        self
    }
}

/// Which dispatcher is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The product.
    Dispatcher,
    /// The baseline.
    Naive,
}

/// A bench under construction.
#[derive(Debug)]
pub struct Scenario {
    /// The bench.
    pub bench: Harness,
    rng: ChaCha8Rng,
    next_id: u64,
}

/// Zone of the entry instance in every scenario.
pub const ZONE: &str = "amman-1";

/// A new dispatcher of either kind.
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
    /// A bench of one entry instance with this fleet.
    pub fn new(kind: Kind, seed: u64, view: View, workers: Vec<Worker>) -> Self {
        let sides = vec![side(kind, "entry-0", seed)];
        Self {
            bench: Harness::new(view, workers, sides),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            next_id: 0,
        }
    }

    /// Ten workers of eight slots that carry an urgent service `check` (20 ms)
    /// and a patient service `archive` (400 ms): 80 slots.
    pub fn ten_workers(kind: Kind, seed: u64) -> Self {
        Self::workers(kind, seed, 10)
    }

    /// The same with `n` workers.
    pub fn workers(kind: Kind, seed: u64, n: usize) -> Self {
        let mut view = View::default();
        let services = vec![
            fleets::service("check", Class::Urgent, 20),
            fleets::service("archive", Class::Patient, 400),
        ];
        let workers = fleets::pool(&mut view, "pool", services, &[ZONE], n);
        Self::new(kind, seed, view, workers)
    }

    /// The same behind `n` entry instances.
    pub fn ten_workers_and(n: usize, seed: u64) -> Self {
        let mut view = View::default();
        let services = vec![fleets::service("check", Class::Urgent, 20)];
        let workers = fleets::pool(&mut view, "pool", services, &[ZONE], 10);
        let sides = (0..n).map(|i| side(Kind::Dispatcher, &format!("entry-{i}"), seed + i as u64));
        Self {
            bench: Harness::new(view, workers, sides.collect()),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            next_id: 0,
        }
    }

    /// Adds a stream at the first entry instance; returns the ids of its requests.
    pub fn add(&mut self, from_ms: u64, until_ms: u64, stream: &Stream) -> Vec<RequestId> {
        self.add_at(0, from_ms, until_ms, stream)
    }

    /// Adds a stream at one of the entry instances.
    pub fn add_at(
        &mut self,
        entry: usize,
        from_ms: u64,
        until_ms: u64,
        stream: &Stream,
    ) -> Vec<RequestId> {
        let mut at = from_ms as f64;
        let mut ids = Vec::new();
        loop {
            let gap: f64 = -(1.0 - self.rng.random::<f64>()).ln();
            at += gap * 1_000.0 / stream.rate_per_s;
            if at >= until_ms as f64 {
                return ids;
            }
            ids.push(self.add_one_at(entry, at as u64, stream));
        }
    }

    /// Adds one request of a stream.
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

/// The value that a part `q` of the sorted values does not exceed.
pub fn quantile(sorted: &[u64], q: f64) -> u64 {
    let at = (sorted.len() as f64 * q) as usize;
    sorted
        .get(at.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}
