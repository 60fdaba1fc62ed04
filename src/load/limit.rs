//! How many requests an upstream can really carry at once.
//!
//! Pattern of load: a slow upstream, and one that declared more than it has.
//! Without it the declared slots are filled however long each request takes
//! there, and callers wait on the slow machine while others idle.
//!
//! Additive increase, multiplicative decrease: one slot more for each round of
//! requests that ran as fast as usual while the limit was in use, 7/8 of the
//! limit when they ran `SLOW` times longer than usual, at most once a round. A
//! `busy` takes the limit down to what ran there. Thresholds: `SLOW` is 2 since
//! run times spread by half without meaning anything; 7/8 gives back 12 % a
//! round, so one odd round costs little; a quarter of the slots is the floor,
//! because a service can become slow for reasons that fewer requests at once do
//! not mend, and there each slot less is throughput lost. The declared slots and the row stay the ceiling.

/// Runs this many times longer than usual mean too many at once.
const SLOW: f64 = 2.0;

/// What is left of the limit after a slow round.
const DECREASE: f64 = 7.0 / 8.0;

/// Part of the slots that slowness alone leaves is one of this many.
const SLOW_FLOOR_PART: f64 = 4.0;

/// Share of a new sample in the ratio: about the last eight runs count, one
/// round of an upstream with eight slots.
const GAIN: f64 = 1.0 / 8.0;

/// Share of a sample after `STALE_MS` without one: what is known is old, and an upstream
/// that was slow is given so few requests that eighths would keep it slow for a minute.
const GAIN_STALE: f64 = 1.0 / 2.0;

/// Age at which the last sample is old: about the pause between two requests to see
/// whether a slow upstream has recovered.
const STALE_MS: u64 = 900;

/// A run time ratio beyond this says no more than this.
const RATIO_MAX: f64 = 50.0;

/// Learnt limit of requests at once.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limit {
    limit: f64,
    slots: u32,
    ratio: f64,
    round: u32,
    ran_ms: u64,
}

impl Limit {
    pub(super) fn new(slots: u32) -> Self {
        Self {
            limit: f64::from(slots),
            slots,
            ratio: 1.0,
            round: 0,
            ran_ms: 0,
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

    /// How many times longer than usual requests run here.
    pub(super) fn ratio(&self) -> f64 {
        self.ratio
    }

    /// A request ran for `ratio` times its usual time beside `in_flight` others.
    pub(super) fn ran(&mut self, now_ms: u64, ratio: f64, in_flight: u32) {
        let is_stale = self.ran_ms + STALE_MS <= now_ms;
        let gain = if is_stale { GAIN_STALE } else { GAIN };
        self.ran_ms = now_ms;
        self.ratio += gain * (ratio.min(RATIO_MAX) - self.ratio);
        self.round += 1;
        if self.ratio >= SLOW {
            if self.round >= self.get() {
                self.round = 0;
                let floor = f64::from(self.slots) / SLOW_FLOOR_PART;
                self.limit = (self.limit * DECREASE).max(floor.max(1.0));
            }
        } else if in_flight + 1 >= self.get() {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
        }
    }

    /// The upstream was full with this many of ours and of others.
    pub(super) fn was_full(&mut self, running: u32) {
        let seen = f64::from(running.max(1));
        self.limit = self.limit.min(seen).max(1.0);
    }
}
