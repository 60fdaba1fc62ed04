//! Fair shares of a pool's room for small and for large jobs.
//!
//! Under overload, ordering by least work left starves the large jobs of a queue for as
//! long as the overload lasts. Therefore large jobs, the upper third of the recent jobs of
//! their queue, get a share of the room in proportion to their demand, so that they are
//! served about half as often as small ones. Room that one group leaves free goes to the
//! other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::control::Estimates;
use crate::jobs::{Job, JobId};

/// Number of recent jobs per queue whose sizes are kept: the arrivals of one or two seconds
/// of a load peak, and enough for a quantile.
const RECENT_JOBS_MAX: usize = 64;
/// With fewer recent jobs than this no job of a queue counts as large.
const MIN_RECENT_JOBS: usize = 10;
/// A job is large if at least this fraction of its queue's recent jobs are smaller.
const LARGE_QUANTILE: f64 = 0.7;

/// The jobs that are large compared with others of their queue.
#[derive(Debug, Default)]
pub struct Sizes {
    recent: BTreeMap<String, VecDeque<f64>>,
    large: BTreeSet<JobId>,
}

impl Sizes {
    /// Records the size of a job that has arrived, by its estimated run times.
    pub fn record_arrival(&mut self, job: &Job, estimates: &Estimates) {
        let work = job.spec.work(&estimates.run_times_ms(job));
        self.record(&job.queue, job.id, work);
    }

    /// Records a job with this work, in core-milliseconds, and decides whether it is large.
    pub fn record(&mut self, queue: &str, job: JobId, work: f64) {
        let recent = self.recent.entry(queue.to_owned()).or_default();
        let smaller = recent.iter().filter(|other| **other < work).count();
        if recent.len() >= MIN_RECENT_JOBS && smaller as f64 >= LARGE_QUANTILE * recent.len() as f64
        {
            self.large.insert(job);
        }
        recent.push_back(work);
        if recent.len() > RECENT_JOBS_MAX {
            recent.pop_front();
        }
    }

    /// Returns whether a job is large.
    pub fn is_large(&self, job: JobId) -> bool {
        self.large.contains(&job)
    }

    /// Forgets the jobs for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(JobId) -> bool) {
        self.large.retain(|job| keep(*job));
    }
}

/// The cores that small and large jobs use, and those that they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SizeShares {
    running: [f64; 2],
    waiting: [f64; 2],
}

impl SizeShares {
    /// Adds cores in use.
    pub fn add_running(&mut self, large: bool, cores: f64) {
        self.running[usize::from(large)] += cores;
    }

    /// Adds cores that waiting tasks ask for.
    pub fn add_waiting(&mut self, large: bool, cores: f64) {
        self.waiting[usize::from(large)] += cores;
    }

    /// Returns the weights by which small and large jobs share the room: their total
    /// demand, that of large jobs multiplied by `large_part`.
    pub fn weights(&self, large_part: f64) -> [f64; 2] {
        [
            self.running[0] + self.waiting[0],
            (self.running[1] + self.waiting[1]) * large_part,
        ]
    }

    /// Returns the group that uses less in proportion to its weight and goes next: 0 for
    /// small jobs, 1 for large ones.
    pub fn next_group(&self, weights: [f64; 2]) -> usize {
        let fill = |group: usize| self.running[group] / weights[group].max(f64::MIN_POSITIVE);
        usize::from(fill(1) < fill(0))
    }
}
