//! Slots that patient work leaves free for urgent work, and slots it is sure of.
//!
//! Pattern of load: long patient work saturates a pool that also answers people.
//! Without headroom every slot holds a long job when an urgent request arrives,
//! and it waits for one to end even though it goes first in the queue: the
//! head-of-line blocking of an eligibility check behind an archive. Without the
//! guaranteed share a busy day of urgent work would starve the weekly report.
//!
//! Thresholds: urgent work of mean concurrency `a` (arrival rate times run time)
//! needs about `a + 2 * sqrt(a)` slots to find one free in 97 of 100 cases
//! (square-root staffing); an eighth of the slots is the least kept free, since
//! a pool that saw no urgent request lately has learnt nothing about the next
//! burst. Patient work is sure of an eighth too: with `n` slots a patient
//! request at place `k` starts within `k * run time / max(1, n / 8)`, however
//! much urgent work there is; with one slot the classes take turns.

use std::f64::consts::E;

/// Part of the slots that is kept free at least, and part patient work keeps.
const LEAST_PART: u32 = 8;

/// Time over which urgent load is averaged: long against a request, short
/// against a working hour, so headroom follows the day and not one burst.
const AVERAGE_MS: f64 = 10_000.0;

/// Load seen over less time than this is taken as if it were spread over it.
const SPAN_LEAST_MS: f64 = 1_000.0;

/// Concurrency that is offered, averaged with exponential decay.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadMeter {
    work_ms: f64,
    start_ms: u64,
    at_ms: u64,
}

impl LoadMeter {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            work_ms: 0.0,
            start_ms: now_ms,
            at_ms: now_ms,
        }
    }

    /// A request with this run time arrived.
    pub(super) fn add(&mut self, now_ms: u64, run_ms: f64) {
        self.work_ms = self.decayed(now_ms) + run_ms;
        self.at_ms = self.at_ms.max(now_ms);
    }

    /// Mean number of requests that run at once under this load.
    pub(super) fn level(&self, now_ms: u64) -> f64 {
        let seen = now_ms.saturating_sub(self.start_ms) as f64;
        let span = AVERAGE_MS * (1.0 - E.powf(-seen / AVERAGE_MS));
        self.decayed(now_ms) / span.max(SPAN_LEAST_MS)
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let past = now_ms.saturating_sub(self.at_ms) as f64;
        self.work_ms * E.powf(-past / AVERAGE_MS)
    }
}

/// Slots patient work is sure of.
pub(super) fn patient_floor(slots: u32) -> u32 {
    (slots / LEAST_PART).max(1)
}

/// Slots patient work may hold at most, beside urgent work of this level; no
/// level where the pool has no urgent work.
pub(super) fn patient_ceiling(slots: u32, urgent_level: Option<f64>) -> u32 {
    let Some(level) = urgent_level else {
        return slots;
    };
    let wanted = (level + 2.0 * level.sqrt()).ceil() as u32;
    let headroom = wanted.max(slots.div_ceil(LEAST_PART));
    slots.saturating_sub(headroom).max(patient_floor(slots))
}
