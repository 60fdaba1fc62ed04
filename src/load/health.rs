//! Upstreams that fail what they are given.
//!
//! Pattern of load: a worker that fails everything at once. It is always idle
//! and answers fastest, so least connections or least latency sends it nearly
//! all requests: one bad worker of ten fails most of the pool's work.
//!
//! An upstream is ejected after `STREAK` failures in a row, or when at least
//! half of its last runs failed and it fails `WORSE` times as often as its pool.
//! After a pause, doubled each time, it is on probation: one request at a time,
//! and `PROBES` whole answers in a row bring it back, slowly. Only whole answers
//! clear a streak: speed says nothing. A slow upstream answers, so it is not
//! ejected but limited (see `limit`).
//!
//! When a whole pool looks sick no more than `EJECTED_PART` of it is ejected:
//! the fault is then likely in the requests or in something all of them share,
//! and the rest must not drown in the load of the ejected. The pool is marked
//! sick in the status instead.
//!
//! Failures that eject nothing still speak against an upstream when one of several is
//! chosen, for the first pause and less from moment to moment. An upstream that is not
//! chosen has no runs that could lower its failure rate: without the fading it would
//! get nothing for as long as others have room, worse off than one that was ejected.
//!
//! Thresholds: with 1 % of random failures three in a row come once in a
//! million requests; half of the pool stays above the loss of one rack of four
//! in pools of 8 to 12; the first pause of 5 s is longer than a restart of a
//! process, the longest of 60 s bounds what a repaired upstream waits.

/// Failures in a row that eject.
const STREAK: u32 = 3;

/// Failure rate that ejects, if the pool's is `WORSE` times lower.
const RATE: f64 = 0.5;

/// How many times worse than its pool an upstream must be.
const WORSE: f64 = 3.0;

/// Runs seen before the rate means anything.
const RATE_SAMPLES: u32 = 10;

/// Share of a new run in the failure rate.
const GAIN: f64 = 1.0 / 16.0;

/// Part of a pool that may be ejected at most is one of this many.
const EJECTED_PART: usize = 2;

/// First pause after an ejection, doubled at each further one.
const PAUSE_MS: u64 = 5_000;

/// Longest pause.
const PAUSE_MAX_MS: u64 = 60_000;

/// Whole answers in a row that end the probation.
const PROBES: u32 = 2;

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
    /// Anything.
    #[display("healthy")]
    Healthy,
    /// Nothing before the given time.
    #[display("ejected ({reason})")]
    Ejected {
        /// When probation begins.
        until_ms: u64,
        /// Why.
        reason: EjectReason,
    },
    /// One request at a time.
    #[display("probation")]
    Probation {
        /// Whole answers since it began.
        passed: u32,
    },
}

/// Failures of one upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Record {
    health: Health,
    streak: u32,
    rate: FailureRate,
    last_failed_ms: u64,
    ejections: u32,
}

/// Share of runs that failed, with the newer ones counting more.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    rate: f64,
    samples: u32,
}

impl FailureRate {
    pub(super) fn saw(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.rate += GAIN * (sample - self.rate);
        self.samples = self.samples.saturating_add(1);
    }

    pub(super) fn get(&self) -> f64 {
        self.rate
    }
}

impl Record {
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

    /// Failure rate as far as it still speaks against choosing the upstream.
    pub(super) fn failure_weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.last_failed_ms).min(PAUSE_MS);
        self.rate.get() * (1.0 - age_ms as f64 / PAUSE_MS as f64)
    }

    pub(super) fn is_ejected(&self) -> bool {
        matches!(self.health, Health::Ejected { .. })
    }

    pub(super) fn is_on_probation(&self) -> bool {
        matches!(self.health, Health::Probation { .. })
    }

    /// A whole answer came. Returns whether this ended a probation.
    pub(super) fn succeeded(&mut self) -> bool {
        self.streak = 0;
        self.rate.saw(false);
        let Health::Probation { passed } = self.health else {
            return false;
        };
        if passed + 1 < PROBES {
            self.health = Health::Probation { passed: passed + 1 };
            return false;
        }
        self.health = Health::Healthy;
        self.rate = FailureRate::default();
        true
    }

    /// A run failed. Returns why the upstream should be ejected, if it should.
    pub(super) fn failed(&mut self, now_ms: u64, pool: &FailureRate) -> Option<EjectReason> {
        self.streak += 1;
        self.last_failed_ms = now_ms;
        self.rate.saw(true);
        match self.health {
            Health::Ejected { .. } => None,
            Health::Probation { .. } => Some(EjectReason::Probe),
            Health::Healthy if self.streak >= STREAK => Some(EjectReason::Streak),
            Health::Healthy => self.is_worse_than(pool).then_some(EjectReason::Rate),
        }
    }

    fn is_worse_than(&self, pool: &FailureRate) -> bool {
        self.rate.samples >= RATE_SAMPLES
            && self.rate.get() >= RATE
            && self.rate.get() >= WORSE * pool.get()
    }

    pub(super) fn eject(&mut self, now_ms: u64, reason: EjectReason) {
        let pause = PAUSE_MS << self.ejections.min(4);
        self.ejections += 1;
        self.streak = 0;
        self.health = Health::Ejected {
            until_ms: now_ms + pause.min(PAUSE_MAX_MS),
            reason,
        };
    }

    /// Begins the probation once the pause is over.
    pub(super) fn tick(&mut self, now_ms: u64) {
        if let Health::Ejected { until_ms, .. } = self.health
            && until_ms <= now_ms
        {
            self.health = Health::Probation { passed: 0 };
        }
    }
}

/// Whether one more of `live` upstreams may be ejected beside `ejected` others.
pub(super) fn may_eject(live: usize, ejected: usize) -> bool {
    ejected < live / EJECTED_PART
}
