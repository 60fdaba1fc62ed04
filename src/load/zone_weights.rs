//! Choice of the availability zone.
//!
//! Load pattern: rows change, a wave starts, a zone fails and returns. Without
//! bounded steps the whole load of a service jumps to the zone whose row was
//! raised. Its upstreams are cold and slow down, so the load jumps back, and so
//! on. Without a preference for the own zone every request would pay for a trip
//! to another zone without need.
//!
//! The load balancer spreads callers evenly over the zones, so a zone whose
//! weight is the average serves what arrives there. A zone below the average
//! forwards the difference, and a zone above it takes what the others forward.
//! This realizes the weights with the fewest requests that change zones.
//!
//! A weight rises by at most `MAX_RISE_PER_S` a second and falls at once: less
//! load is always safe and a closed row must take effect, whereas more load on
//! cold upstreams is not safe. A full shift takes 4 s, within the time in which
//! a row must be in force. Latency does not feed back into the weights, so they
//! cannot oscillate.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Weight of a service in a zone that has no row for it: it is not limited.
pub(super) const DEFAULT_ZONE_WEIGHT: u32 = 100;

/// Largest rise of a weight per second; the largest weight is 100.
const MAX_RISE_PER_S: f64 = 25.0;

/// Weights of one service by zone, moving towards those of the rows.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneWeights {
    weights: Vec<f64>,
    updated_ms: u64,
}

impl ZoneWeights {
    /// Moves the weights towards `targets`, one for each zone, 0 where the zone can
    /// take nothing. The first targets apply at once.
    pub(super) fn advance(&mut self, now_ms: u64, targets: &[f64]) {
        let past_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        let first = self.weights.iter().all(|w| *w == 0.0);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.weights.resize(targets.len(), 0.0);
        for (weight, &target) in self.weights.iter_mut().zip(targets) {
            let step = if first {
                target
            } else {
                past_s * MAX_RISE_PER_S
            };
            *weight = target.min(*weight + step);
        }
    }

    pub(super) fn get(&self, zone: usize) -> f64 {
        self.weights.get(zone).copied().unwrap_or(0.0)
    }

    /// Returns the zone for a request that arrived in `home`.
    pub(super) fn choose(&self, home: usize, rng: &mut ChaCha8Rng) -> usize {
        let sum: f64 = self.weights.iter().sum();
        if sum == 0.0 {
            return home;
        }
        let even = sum / self.weights.len() as f64;
        let keep = self.get(home) / even;
        if keep >= 1.0 || rng.random::<f64>() < keep {
            return home;
        }
        let above: f64 = self.weights.iter().map(|w| (w - even).max(0.0)).sum();
        let mut at = rng.random::<f64>() * above;
        for (zone, weight) in self.weights.iter().enumerate() {
            let part = (weight - even).max(0.0);
            if part > 0.0 && at < part {
                return zone;
            }
            at -= part;
        }
        self.largest(home)
    }

    /// Returns the zone with the largest weight, for cases where rounding leaves none
    /// above the average.
    fn largest(&self, home: usize) -> usize {
        let mut best = home;
        for (zone, &weight) in self.weights.iter().enumerate() {
            if weight > self.get(best) {
                best = zone;
            }
        }
        best
    }
}
