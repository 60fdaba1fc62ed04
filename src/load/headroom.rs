//! Slots reserved for urgent work, and slots guaranteed to patient work.
//!
//! Load pattern: long patient work saturates a pool that also serves
//! interactive requests. Without headroom every slot holds a long job when an
//! urgent request arrives, and the request waits for one of them to end
//! although it is first in the queue: head-of-line blocking. Without the
//! guaranteed share, a busy day of urgent work would starve the weekly report.
//!
//! Urgent work of mean concurrency `a` (arrival rate times run time) needs
//! about `a + 2 * sqrt(a)` slots to find a free one in 97 of 100 cases
//! (square-root staffing). At least an eighth of the slots stays free, since a
//! pool without recent urgent requests knows nothing about the next burst.
//! Patient work is guaranteed an eighth as well: with `n` slots, a patient
//! request at position `k` starts within `k * run time / max(1, n / 8)`,
//! however much urgent work there is. With one slot the classes take turns.

use std::f64::consts::E;

/// One in this many slots is always kept free for urgent work, and one in as many is
/// guaranteed to patient work.
const MIN_SHARE_DIVISOR: u32 = 8;

/// Time constant of the average of urgent load, in milliseconds: long compared with a
/// request and short compared with a working hour, so that headroom follows the time of
/// day and not a single burst.
const LOAD_AVERAGING_MS: f64 = 10_000.0;

/// Shortest observation time over which load is averaged, in milliseconds.
const MIN_AVERAGING_SPAN_MS: f64 = 1_000.0;

/// Offered concurrency, averaged with exponential decay.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadMeter {
    work_ms: f64,
    start_ms: u64,
    updated_ms: u64,
}

impl LoadMeter {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            work_ms: 0.0,
            start_ms: now_ms,
            updated_ms: now_ms,
        }
    }

    /// Records the arrival of a request with this run time.
    pub(super) fn record(&mut self, now_ms: u64, run_ms: f64) {
        self.work_ms = self.decayed(now_ms) + run_ms;
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Returns the mean number of requests in flight under this load.
    pub(super) fn level(&self, now_ms: u64) -> f64 {
        let seen = now_ms.saturating_sub(self.start_ms) as f64;
        let span = LOAD_AVERAGING_MS * (1.0 - E.powf(-seen / LOAD_AVERAGING_MS));
        self.decayed(now_ms) / span.max(MIN_AVERAGING_SPAN_MS)
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let past = now_ms.saturating_sub(self.updated_ms) as f64;
        self.work_ms * E.powf(-past / LOAD_AVERAGING_MS)
    }
}

/// Returns the slots guaranteed to patient work.
pub(super) fn patient_floor(slots: u32) -> u32 {
    (slots / MIN_SHARE_DIVISOR).max(1)
}

/// Returns the most slots that patient work may hold beside urgent work of this level;
/// `None` means that the pool has no urgent work.
pub(super) fn patient_ceiling(slots: u32, urgent_level: Option<f64>) -> u32 {
    let Some(level) = urgent_level else {
        return slots;
    };
    let wanted = (level + 2.0 * level.sqrt()).ceil() as u32;
    let headroom = wanted.max(slots.div_ceil(MIN_SHARE_DIVISOR));
    slots.saturating_sub(headroom).max(patient_floor(slots))
}
