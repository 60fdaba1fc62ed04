//! Learned run times of a service.
//!
//! Load pattern: declared run times are wrong by a factor of 4 and more, both
//! ways. With declared values alone, a service declared four times too short
//! would fill its queue with requests that miss their deadlines, and one
//! declared four times too long would refuse callers beside idle slots.

/// Weight of a new sample after the first few. About the last 16 requests count: enough
/// to smooth one outlier, few enough to follow a change within a second or two of load.
const MEAN_GAIN: f64 = 1.0 / 16.0;

/// Fewest samples by which a request may be refused.
const MIN_TRUSTED_SAMPLES: u32 = 4;

/// Learned run time of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTime {
    mean_us: f64,
    deviation_us: f64,
    unloaded_us: Option<f64>,
    samples: u32,
}

impl RunTime {
    /// Starts from the declared run time.
    pub(super) fn declared(run_ms: u64) -> Self {
        Self {
            mean_us: run_ms.max(1) as f64 * 1_000.0,
            deviation_us: 0.0,
            unloaded_us: None,
            samples: 0,
        }
    }

    /// Records one complete, successful run; `lightly_loaded` tells the load of its
    /// upstream.
    pub(super) fn record(&mut self, run_us: u64, lightly_loaded: bool) {
        let run = run_us.max(1) as f64;
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.samples + 1));
        let error = run - self.mean_us;
        self.mean_us += gain * error;
        if self.samples > 0 {
            self.deviation_us += gain * (error.abs() - self.deviation_us);
        }
        if lightly_loaded {
            let old = self.unloaded_us.unwrap_or(run);
            self.unloaded_us = Some(old + MEAN_GAIN * (run - old));
        }
        self.samples = self.samples.saturating_add(1);
    }

    pub(super) fn mean_ms(&self) -> f64 {
        self.mean_us / 1_000.0
    }

    /// Returns the mean, or 0 while there are too few samples to refuse a request by
    /// it.
    pub(super) fn trusted_ms(&self) -> f64 {
        if self.is_trusted() {
            self.mean_ms()
        } else {
            0.0
        }
    }

    /// Returns a run time that few requests exceed: the mean plus twice the mean
    /// deviation, similar to the bound on round trips in TCP.
    pub(super) fn high_ms(&self) -> f64 {
        (self.mean_us + 2.0 * self.deviation_us) / 1_000.0
    }

    pub(super) fn is_trusted(&self) -> bool {
        self.samples >= MIN_TRUSTED_SAMPLES
    }

    /// Returns how many times longer than usual a run took. Usual is the run time on a
    /// lightly loaded upstream, so that a pool that is overloaded as a whole counts as
    /// slow.
    pub(super) fn ratio(&self, run_us: u64) -> f64 {
        let usual = self.unloaded_us.unwrap_or(self.mean_us).max(1.0);
        if self.is_trusted() {
            run_us as f64 / usual
        } else {
            1.0
        }
    }
}
