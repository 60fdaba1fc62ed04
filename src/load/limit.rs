//! Adaptive concurrency limit of one upstream.
//!
//! Load pattern: a slow upstream, or one that declares more slots than it can
//! serve. If the declared slots were always filled, callers would wait on the
//! slow machine while others idle.
//!
//! The limit follows additive increase, multiplicative decrease. It grows by
//! one slot for each round of requests that ran at the usual speed while the
//! limit was in use. It falls to 7/8 when requests ran `SLOW_RATIO` times
//! longer than usual, at most once a round. A `busy` reply lowers it to the
//! number of requests that ran there. The declared slots and the row stay upper
//! bounds.
//!
//! `SLOW_RATIO` is 2 because run times vary by half without any cause. A
//! decrease to 7/8 gives up 12 % a round, so one outlying round costs little.
//! The floor for slowness is a quarter of the slots: a service can become slow
//! for reasons that lower concurrency does not correct, and then each slot less
//! is lost throughput.

/// Ratio to the usual run time from which an upstream counts as overloaded.
const SLOW_RATIO: f64 = 2.0;

/// Factor on the limit after a slow round.
const DECREASE_FACTOR: f64 = 7.0 / 8.0;

/// Slowness alone lowers the limit to no less than one in this many slots.
const SLOW_FLOOR_DIVISOR: f64 = 4.0;

/// Weight of a new sample in the run time ratio. About the last eight runs count, one
/// round of an upstream with eight slots.
const RATIO_GAIN: f64 = 1.0 / 8.0;

/// Weight of a sample after `STALE_SAMPLE_MS` without one. The known ratio is outdated
/// then, and a slow upstream gets so few requests that a weight of one eighth would
/// keep it slow for a minute.
const STALE_RATIO_GAIN: f64 = 1.0 / 2.0;

/// Age, in milliseconds, at which the last sample is outdated: about the interval
/// between probes of a slow upstream.
const STALE_SAMPLE_MS: u64 = 900;

/// Upper bound of a run time ratio; a higher one carries no more information.
const MAX_RATIO: f64 = 50.0;

/// Learned concurrency limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    slots: u32,
    ratio: f64,
    runs_in_round: u32,
    last_run_ms: u64,
}

impl ConcurrencyLimit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            limit: f64::from(slots),
            slots,
            ratio: 1.0,
            runs_in_round: 0,
            last_run_ms: 0,
        }
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            *self = Self::new(slots);
        }
    }

    pub(super) fn get(&self) -> u32 {
        (self.limit as u32).clamp(self.slots.min(1), self.slots)
    }

    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns how many times longer than usual requests run here.
    pub(super) fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Records a run that took `ratio` times the usual time beside `in_flight` other
    /// requests.
    pub(super) fn record_run(&mut self, now_ms: u64, ratio: f64, in_flight: u32) {
        let is_stale = self.last_run_ms + STALE_SAMPLE_MS <= now_ms;
        let gain = if is_stale {
            STALE_RATIO_GAIN
        } else {
            RATIO_GAIN
        };
        self.last_run_ms = now_ms;
        self.ratio += gain * (ratio.min(MAX_RATIO) - self.ratio);
        self.runs_in_round += 1;
        if self.ratio >= SLOW_RATIO {
            if self.runs_in_round >= self.get() {
                self.runs_in_round = 0;
                let floor = f64::from(self.slots) / SLOW_FLOOR_DIVISOR;
                self.limit = (self.limit * DECREASE_FACTOR).max(floor.max(1.0));
            }
        } else if in_flight + 1 >= self.get() {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
        }
    }

    /// Records that the upstream was full with this many requests in flight, from all
    /// entry instances.
    pub(super) fn record_busy(&mut self, running: u32) {
        let seen = f64::from(running.max(1));
        self.limit = self.limit.min(seen).max(1.0);
    }
}
