//! Throttle for best-effort tasks that share a worker with tasks that serve users.
//!
//! Best-effort tasks raise the tail latency of serving tasks on the same worker by amounts
//! that are not declared, differ by image and change within seconds. The throttle cuts
//! their speed at once when a tail latency comes near its target and raises it slowly, so
//! that the speed does not oscillate.

/// Fraction of the latency target above which the speed is halved. It is below 1 because
/// the measurement covers only half a second and is inexact.
const REDUCE_ABOVE: f64 = 0.85;
/// Fraction of the latency target below which the speed is raised.
const RAISE_BELOW: f64 = 0.6;
/// Increase of the speed per step, in percent of full speed.
const STEP_PERCENT: u8 = 10;
/// Shortest time between two increases: the tail latency reflects a change after half a
/// second.
const STEP_INTERVAL_MS: u64 = 800;
/// Lowest speed above a halt, in percent of full speed.
const MIN_PERCENT: u8 = 10;

/// The speed limit of a worker's best-effort tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Throttle {
    percent: u8,
    changed_ms: u64,
}

impl Throttle {
    /// Creates a throttle at full speed.
    pub fn new(now_ms: u64) -> Self {
        Self {
            percent: 100,
            changed_ms: now_ms,
        }
    }

    /// Returns the speed limit in percent of full speed.
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Adjusts the limit to the worst tail latency on the worker, given as a fraction of its
    /// target.
    pub fn observe(&mut self, now_ms: u64, worst: f64) {
        if worst > 1.0 {
            self.set(now_ms, 0);
        } else if worst > REDUCE_ABOVE {
            let half = self.percent / 2;
            self.set(now_ms, if half < MIN_PERCENT { 0 } else { half });
        } else if worst < RAISE_BELOW && now_ms >= self.changed_ms + STEP_INTERVAL_MS {
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
