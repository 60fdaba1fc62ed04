use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How long requests really run, drawn per service.
#[derive(Debug)]
pub struct RunTimes {
    mean_ms: BTreeMap<String, u64>,
    default_ms: u64,
    spread_percent: u32,
    rng: ChaCha8Rng,
}

impl RunTimes {
    /// Draws evenly from `mean ± spread_percent`, the same from the same seed.
    pub fn new(
        mean_ms: BTreeMap<String, u64>,
        default_ms: u64,
        spread_percent: u32,
        seed: u64,
    ) -> Self {
        Self {
            mean_ms,
            default_ms,
            spread_percent: spread_percent.min(100),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The run time of the next request of a service, in milliseconds.
    pub fn draw(&mut self, service: &str) -> u64 {
        let mean_ms = self
            .mean_ms
            .get(service)
            .copied()
            .unwrap_or(self.default_ms);
        let spread_ms = mean_ms * u64::from(self.spread_percent) / 100;
        self.rng
            .random_range(mean_ms - spread_ms..=mean_ms + spread_ms)
    }
}
