//! How long a service's requests really run.
//!
//! Pattern of load: declared run times are off by 4 times and more, both ways.
//! Without it a queue would be bounded by a wish: a service declared four times
//! too short fills up with requests that cannot make their deadlines, one
//! declared four times too long turns callers away beside idle slots.

/// Share of a new sample once the first few are in: about the last 16 requests
/// count, enough to ride out one odd request and few enough to follow a change
/// within a second or two of load.
const GAIN: f64 = 1.0 / 16.0;

/// Fewer samples than this are no reason to refuse anything.
const SAMPLES_TRUSTED: u32 = 4;

/// Learnt run time of a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunTime {
    mean_us: f64,
    deviation_us: f64,
    calm_us: Option<f64>,
    samples: u32,
}

impl RunTime {
    /// Starts from what was declared.
    pub(super) fn declared(run_ms: u64) -> Self {
        Self {
            mean_us: run_ms.max(1) as f64 * 1_000.0,
            deviation_us: 0.0,
            calm_us: None,
            samples: 0,
        }
    }

    /// Takes one whole, successful run; `calm` if its upstream was hardly used.
    pub(super) fn saw(&mut self, run_us: u64, calm: bool) {
        let run = run_us.max(1) as f64;
        let gain = GAIN.max(1.0 / f64::from(self.samples + 1));
        let error = run - self.mean_us;
        self.mean_us += gain * error;
        if self.samples > 0 {
            self.deviation_us += gain * (error.abs() - self.deviation_us);
        }
        if calm {
            let old = self.calm_us.unwrap_or(run);
            self.calm_us = Some(old + GAIN * (run - old));
        }
        self.samples = self.samples.saturating_add(1);
    }

    pub(super) fn mean_ms(&self) -> f64 {
        self.mean_us / 1_000.0
    }

    /// The mean, or 0 while too little was seen to refuse anything by it.
    pub(super) fn trusted_ms(&self) -> f64 {
        if self.is_trusted() {
            self.mean_ms()
        } else {
            0.0
        }
    }

    /// A run time that few requests exceed: the mean and twice the mean
    /// deviation, as TCP bounds a round trip.
    pub(super) fn high_ms(&self) -> f64 {
        (self.mean_us + 2.0 * self.deviation_us) / 1_000.0
    }

    pub(super) fn is_trusted(&self) -> bool {
        self.samples >= SAMPLES_TRUSTED
    }

    /// How many times longer than usual a run took. Usual is what an upstream
    /// with hardly any load needs, so that a pool which is slow because all of
    /// it is overloaded counts as slow.
    pub(super) fn ratio(&self, run_us: u64) -> f64 {
        let usual = self.calm_us.unwrap_or(self.mean_us).max(1.0);
        if self.is_trusted() {
            run_us as f64 / usual
        } else {
            1.0
        }
    }
}
