//! How fast best-effort tasks may work beside tasks that serve users.
//!
//! Answers interference that nobody declares: best-effort tasks slow the tail of
//! the serving ones on their worker by amounts that differ by image and change
//! within seconds. The share is cut at once when a tail comes near its target and
//! given back slowly, so that it does not swing.

/// Above this part of its target a tail is too near: the measurement covers half a
/// second and is rough.
const HIGH: f64 = 0.85;
/// Below this part of the target there is room to give back.
const LOW: f64 = 0.6;
/// How much is given back at a time, in percent of full speed.
const STEP_PERCENT: u8 = 10;
/// Between two steps up: the tail shows a change after half a second.
const STEP_EVERY_MS: u64 = 800;
/// The least share above a halt.
const LEAST_PERCENT: u8 = 10;

/// The share of a worker's best-effort tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    percent: u8,
    changed_ms: u64,
}

impl Throttle {
    /// Full speed.
    pub fn new(now_ms: u64) -> Self {
        Self {
            percent: 100,
            changed_ms: now_ms,
        }
    }

    /// The share, 0 to 100.
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Takes the worst tail of the worker as a part of its target.
    pub fn observe(&mut self, now_ms: u64, worst: f64) {
        if worst > 1.0 {
            self.set(now_ms, 0);
        } else if worst > HIGH {
            let half = self.percent / 2;
            self.set(now_ms, if half < LEAST_PERCENT { 0 } else { half });
        } else if worst < LOW && now_ms >= self.changed_ms + STEP_EVERY_MS {
            self.set(now_ms, self.percent.saturating_add(STEP_PERCENT).min(100));
        }
    }

    fn set(&mut self, now_ms: u64, percent: u8) {
        if self.percent != percent {
            self.percent = percent;
            self.changed_ms = now_ms;
        }
    }
}
