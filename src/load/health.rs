//! Outlier detection: ejects upstreams that fail their requests.
//!
//! Load pattern: a worker that fails every request at once. It is always idle
//! and answers fastest, so balancing by least connections or latency sends it
//! nearly all requests: one bad worker of ten fails most of the work of the
//! pool.
//!
//! An upstream is ejected after `MAX_FAILURE_STREAK` failures in a row, or when
//! at least half of its recent runs failed and its failure rate is
//! `WORSE_THAN_POOL_RATIO` times that of its pool. After a pause, doubled each
//! time, it is on probation: it gets one request at a time, and
//! `PROBATION_SUCCESSES` complete answers in a row end the probation, after
//! which it warms up slowly. Only complete answers reset a streak; speed says
//! nothing about health. A slow upstream that answers is not ejected but
//! limited (see `limit`).
//!
//! When a whole pool looks unhealthy, at most one in `MAX_EJECTED_DIVISOR` of
//! its upstreams is ejected. The fault is then likely in the requests or in a
//! shared dependency, and the remaining upstreams must not be overloaded with
//! the load of the ejected ones. The status marks the pool as sick instead.
//!
//! Failures that do not eject an upstream still raise its cost in routing, with
//! a weight that falls to zero over the first pause. An upstream that is not
//! chosen has no runs that could lower its failure rate: without the decay it
//! would get nothing for as long as others have free slots, worse off than an
//! ejected one.
//!
//! With 1 % of random failures three in a row come once in a million requests.
//! Half of the pool stays above the loss of one rack of four in pools of 8 to
//! 12. The first pause of 5 s is longer than the restart of a process; the
//! longest of 60 s bounds how long a repaired upstream waits.

/// Failures in a row that eject an upstream.
const MAX_FAILURE_STREAK: u32 = 3;

/// Failure rate that ejects an upstream if it is also `WORSE_THAN_POOL_RATIO` times
/// that of the pool.
const EJECT_FAILURE_RATE: f64 = 0.5;

/// Ratio to the failure rate of the pool from which an upstream is an outlier.
const WORSE_THAN_POOL_RATIO: f64 = 3.0;

/// Fewest runs for a meaningful failure rate.
const MIN_RATE_SAMPLES: u32 = 10;

/// Weight of a new run in the failure rate.
const RATE_GAIN: f64 = 1.0 / 16.0;

/// At most one in this many upstreams of a pool is ejected.
const MAX_EJECTED_DIVISOR: usize = 2;

/// First ejection time, in milliseconds, doubled at each further ejection.
const FIRST_EJECTION_MS: u64 = 5_000;

/// Longest ejection time, in milliseconds.
const MAX_EJECTION_MS: u64 = 60_000;

/// Complete answers in a row that end the probation.
const PROBATION_SUCCESSES: u32 = 2;

/// Why an upstream is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum EjectReason {
    /// It failed several requests in a row.
    #[display("failures-in-a-row")]
    Streak,
    /// It fails much more often than its pool.
    #[display("failure-rate")]
    Rate,
    /// It failed while on probation.
    #[display("failed-probe")]
    Probe,
}

/// What an upstream may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Health {
    /// It may get any request.
    #[display("healthy")]
    Healthy,
    /// It gets nothing before the given time.
    #[display("ejected ({reason})")]
    Ejected {
        /// When probation begins, in milliseconds.
        until_ms: u64,
        /// Why it was ejected.
        reason: EjectReason,
    },
    /// It gets one request at a time.
    #[display("probation")]
    Probation {
        /// Complete answers since the probation began.
        passed: u32,
    },
}

/// Health state and failure history of one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthRecord {
    health: Health,
    streak: u32,
    rate: FailureRate,
    last_failed_ms: u64,
    ejections: u32,
}

/// Exponentially weighted share of runs that failed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    rate: f64,
    samples: u32,
}

impl FailureRate {
    pub(super) fn record(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.rate += RATE_GAIN * (sample - self.rate);
        self.samples = self.samples.saturating_add(1);
    }

    pub(super) fn get(&self) -> f64 {
        self.rate
    }
}

impl HealthRecord {
    pub(super) fn new() -> Self {
        Self {
            health: Health::Healthy,
            streak: 0,
            rate: FailureRate::default(),
            last_failed_ms: 0,
            ejections: 0,
        }
    }

    pub(super) fn health(&self) -> Health {
        self.health
    }

    /// Returns the failure rate weighted by the time since the last failure, as a cost
    /// for routing.
    pub(super) fn failure_weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms
            .saturating_sub(self.last_failed_ms)
            .min(FIRST_EJECTION_MS);
        self.rate.get() * (1.0 - age_ms as f64 / FIRST_EJECTION_MS as f64)
    }

    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.health, Health::Ejected { .. })
    }

    pub(super) fn is_on_probation(&self) -> bool {
        matches!(self.health, Health::Probation { .. })
    }

    /// Records a complete answer. Returns whether it ended a probation.
    pub(super) fn succeeded(&mut self) -> bool {
        self.streak = 0;
        self.rate.record(false);
        let Health::Probation { passed } = self.health else {
            return false;
        };
        if passed + 1 < PROBATION_SUCCESSES {
            self.health = Health::Probation { passed: passed + 1 };
            return false;
        }
        self.health = Health::Healthy;
        self.rate = FailureRate::default();
        true
    }

    /// Records a failed run. Returns why the upstream should be ejected, if it should.
    pub(super) fn failed(&mut self, now_ms: u64, pool: &FailureRate) -> Option<EjectReason> {
        self.streak += 1;
        self.last_failed_ms = now_ms;
        self.rate.record(true);
        match self.health {
            Health::Ejected { .. } => None,
            Health::Probation { .. } => Some(EjectReason::Probe),
            Health::Healthy if self.streak >= MAX_FAILURE_STREAK => Some(EjectReason::Streak),
            Health::Healthy => self.is_worse_than(pool).then_some(EjectReason::Rate),
        }
    }

    fn is_worse_than(&self, pool: &FailureRate) -> bool {
        self.rate.samples >= MIN_RATE_SAMPLES
            && self.rate.get() >= EJECT_FAILURE_RATE
            && self.rate.get() >= WORSE_THAN_POOL_RATIO * pool.get()
    }

    pub(super) fn eject(&mut self, now_ms: u64, reason: EjectReason) {
        let pause = FIRST_EJECTION_MS << self.ejections.min(4);
        self.ejections += 1;
        self.streak = 0;
        self.health = Health::Ejected {
            until_ms: now_ms + pause.min(MAX_EJECTION_MS),
            reason,
        };
    }

    /// Begins the probation once the ejection time is over.
    pub(super) fn tick(&mut self, now_ms: u64) {
        if let Health::Ejected { until_ms, .. } = self.health
            && until_ms <= now_ms
        {
            self.health = Health::Probation { passed: 0 };
        }
    }
}

/// Returns whether one more of `live` upstreams may be ejected beside `ejected` others.
pub(super) fn may_eject(live: usize, ejected: usize) -> bool {
    ejected < live / MAX_EJECTED_DIVISOR
}
