use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::control::Load;

/// Length of a bucket. It is a tenth of the shortest run times, so that a rise of the
/// arrival rate shows soon.
pub const BUCKET_MS: u64 = 100;
/// Buckets that are kept: one minute. A new leader does not see a whole round of the pools'
/// turns if the round takes longer.
const BUCKET_COUNT: usize = 600;
/// Weight of a new job in a queue's moving means, which then cover some hundred jobs. Sizes
/// differ by a multiple, and so would the mean of fewer.
const MEAN_WEIGHT: f64 = 1.0 / 100.0;

/// Size of one job by its caller's estimates.
///
/// Estimates are wrong by a factor that is learnt. The sizes of past jobs are therefore kept
/// as estimated, and corrected when they are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSize {
    /// Reserved resources times the milliseconds for which the job holds them.
    pub work: Load,
    /// Length of the longest chain of dependent steps, in milliseconds.
    pub chain_ms: f64,
}

/// The jobs that arrived in a queue, by time.
///
/// Only the number of jobs is kept per bucket; sizes are kept as means. If job sizes differ
/// tenfold, the work that arrives per second varies several-fold from one second to the
/// next, while the number of jobs does not.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Arrivals {
    /// Number of the latest bucket, counted from 1970.
    last: u64,
    counts: VecDeque<u32>,
    mean: JobSize,
    /// Moving mean of `(work in core-milliseconds)^2 / chain_ms` of a job, for the variance.
    square: f64,
    jobs: u64,
}

impl Arrivals {
    /// Records the arrival of a job. If the clock went backwards, the job counts at the latest
    /// time seen.
    pub fn add(&mut self, at_unix_ms: u64, size: JobSize) {
        let bucket = (at_unix_ms / BUCKET_MS).max(self.last);
        let passed = bucket - self.last;
        if passed >= BUCKET_COUNT as u64 {
            self.counts.clear();
        } else {
            self.counts.extend((0..passed).map(|_| 0));
        }
        self.last = bucket;
        if self.counts.is_empty() {
            self.counts.push_back(0);
        }
        while self.counts.len() > BUCKET_COUNT {
            self.counts.pop_front();
        }
        if let Some(count) = self.counts.back_mut() {
            *count += 1;
        }
        self.update_means(size);
    }

    fn update_means(&mut self, size: JobSize) {
        self.jobs += 1;
        // The first jobs form a plain mean.
        let weight = MEAN_WEIGHT.max(1.0 / self.jobs as f64);
        let blend = |mean: f64, new: f64| mean + weight * (new - mean);
        let work = self.mean.work.times(1.0 - weight);
        self.mean.work = work.plus(&size.work.times(weight));
        self.mean.chain_ms = blend(self.mean.chain_ms, size.chain_ms);
        let square = size.work.cores * size.work.cores / size.chain_ms.max(1.0);
        self.square = blend(self.square, square);
    }

    /// Returns the number of jobs that arrived after `after_unix_ms` and up to `to_unix_ms`, in
    /// whole buckets.
    pub fn count(&self, after_unix_ms: u64, to_unix_ms: u64) -> u32 {
        let (after, to) = (after_unix_ms / BUCKET_MS, to_unix_ms / BUCKET_MS);
        let first = (self.last + 1).saturating_sub(self.counts.len() as u64);
        let from = (after + 1).max(first);
        let to = (to + 1).min(self.last + 1);
        if from >= to {
            return 0;
        }
        let skip = (from - first) as usize;
        self.counts
            .iter()
            .skip(skip)
            .take((to - from) as usize)
            .sum()
    }

    /// Returns the start of the oldest bucket that is kept, in milliseconds since 1970.
    pub fn first_unix_ms(&self) -> u64 {
        (self.last + 1).saturating_sub(self.counts.len() as u64) * BUCKET_MS
    }

    /// Returns the mean size of a job.
    pub fn mean(&self) -> JobSize {
        self.mean
    }

    /// Returns the variance of the cores in use at an arrival rate, in square cores, for jobs
    /// that arrive independently and hold their cores for the length of their chain.
    pub fn variance(&self, jobs_per_ms: f64) -> f64 {
        jobs_per_ms * self.square
    }
}
