//! How wrong the estimated waits are.
//!
//! Pattern of load: one caller with most of the requests beside many with few.
//! Those with few that come later go before its queued ones, so its waits are
//! longer than what stood before it when it came. Without a correction a part of
//! what it was let in for is given up later, or answered too late, and the slots
//! it took there are lost.

/// How much longer than estimated a wait is taken to be at least. Covers what
/// comes later with few requests, and costs no throughput, as a shorter queue
/// holds enough work all the same.
const MARGIN_LEAST: f64 = 1.25;

/// Mean deviations that the margin stands above the mean.
const DEVIATIONS: f64 = 3.0;

/// A correction beyond this would close the door for good.
const MARGIN_MAX: f64 = 4.0;

/// Share of a new wait: about the last 32 count, so the correction follows a
/// change of who sends within a fraction of the queue's length.
const GAIN: f64 = 1.0 / 32.0;

/// Estimates below this many run times say nothing: the wait is then for the
/// next slot, whatever stands before.
const RUNS_LEAST: f64 = 2.0;

/// Ratio of real to estimated waits of one queue.
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

    /// A request started, or was given up, after this wait.
    pub(super) fn saw(&mut self, estimated_ms: f64, waited_ms: u64, run_ms: f64) {
        if estimated_ms > RUNS_LEAST * run_ms {
            let ratio = (waited_ms as f64 / estimated_ms).min(MARGIN_MAX);
            let error = ratio - self.ratio;
            self.ratio += GAIN * error;
            self.deviation += GAIN * (error.abs() - self.deviation);
        }
    }

    /// What estimated waits are to be multiplied with at the door: a ratio that
    /// few waits exceed.
    pub(super) fn margin(&self) -> f64 {
        let high = self.ratio + DEVIATIONS * self.deviation;
        high.clamp(MARGIN_LEAST, MARGIN_MAX)
    }
}
