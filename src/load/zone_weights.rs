//! Which availability zone takes a request.
//!
//! Pattern of load: rows change, a wave starts, a zone goes and returns. Without
//! bounded steps the whole load of a service jumps to the zone whose row was
//! raised, whose upstreams are cold; they slow down, the load jumps back, and so
//! on. Without a preference for the own zone each request would pay the way to
//! another for nothing.
//!
//! The balancer spreads callers evenly over the zones, so a zone that is meant
//! to take its even part takes what arrives there. A zone below its even part
//! hands the difference on, and a zone above it takes what the others hand on:
//! that brings about the weights with the fewest requests that change zones.
//!
//! A weight rises by at most `STEP_PER_S` of the whole a second, and falls at
//! once: giving less is always safe and a closed row must hold, whereas more
//! load on cold upstreams is not. A full shift takes 4 s, within the time in
//! which a row must be in force. There is no feedback from latency to weights,
//! so nothing here can oscillate.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Weight of a service in a zone that has no row for it: it is not limited.
pub(super) const WEIGHT_DEFAULT: u32 = 100;

/// Rise of a weight in a second, of the largest weight of 100.
const STEP_PER_S: f64 = 25.0;

/// Weights of one service by zone, moving to what the rows say.
#[derive(Clone, Debug, Default)]
pub(super) struct ZoneWeights {
    weights: Vec<f64>,
    at_ms: u64,
}

impl ZoneWeights {
    /// Moves towards `targets`, the weight of each zone, 0 where it can take
    /// nothing. The first targets are taken as they are.
    pub(super) fn follow(&mut self, now_ms: u64, targets: &[f64]) {
        let past_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        let first = self.weights.iter().all(|w| *w == 0.0);
        self.at_ms = self.at_ms.max(now_ms);
        self.weights.resize(targets.len(), 0.0);
        for (weight, &target) in self.weights.iter_mut().zip(targets) {
            let step = if first { target } else { past_s * STEP_PER_S };
            *weight = target.min(*weight + step);
        }
    }

    pub(super) fn get(&self, zone: usize) -> f64 {
        self.weights.get(zone).copied().unwrap_or(0.0)
    }

    /// The zone for a request that arrived in `home`.
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

    /// Where rounding left no zone above the even part.
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
