//! Learned error of the estimated waits.
//!
//! Load pattern: one caller with most of the requests beside many callers with
//! few. Later requests of the small callers go ahead of the queued ones of the
//! large caller, so its waits are longer than estimated at its arrival. Without
//! a correction, some of its admitted requests are given up later or answered
//! too late, and the slots that they used are wasted.

/// Smallest factor on an estimated wait. It covers requests of small callers that
/// arrive later, and costs no throughput, as a shorter queue still holds enough work.
const MIN_MARGIN: f64 = 1.25;

/// Mean deviations between the mean ratio and the margin.
const MARGIN_DEVIATIONS: f64 = 3.0;

/// Largest factor; a larger one would refuse all requests permanently.
const MAX_MARGIN: f64 = 4.0;

/// Weight of a new wait. About the last 32 count, so the correction follows a change of
/// who sends within a fraction of the length of the queue.
const RATIO_GAIN: f64 = 1.0 / 32.0;

/// Estimates below this many run times are not used: such a wait is for the next slot,
/// whatever is ahead.
const MIN_ESTIMATE_RUNS: f64 = 2.0;

/// Ratio of actual to estimated waits of one queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitError {
    ratio: f64,
    deviation: f64,
}

impl WaitError {
    pub(super) fn new() -> Self {
        Self {
            ratio: 1.0,
            deviation: 0.0,
        }
    }

    /// Records the wait of a request that started or was given up.
    pub(super) fn record(&mut self, estimated_ms: f64, waited_ms: u64, run_ms: f64) {
        if estimated_ms > MIN_ESTIMATE_RUNS * run_ms {
            let ratio = (waited_ms as f64 / estimated_ms).min(MAX_MARGIN);
            let error = ratio - self.ratio;
            self.ratio += RATIO_GAIN * error;
            self.deviation += RATIO_GAIN * (error.abs() - self.deviation);
        }
    }

    /// Returns the factor on estimated waits at admission: a ratio that few waits
    /// exceed.
    pub(super) fn margin(&self) -> f64 {
        let high = self.ratio + MARGIN_DEVIATIONS * self.deviation;
        high.clamp(MIN_MARGIN, MAX_MARGIN)
    }
}
