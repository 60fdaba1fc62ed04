//! Shares of a pool's room for small and for large jobs.
//!
//! Answers overload in which the least work goes first: the large jobs of a queue then
//! get nothing for as long as it lasts, however long their callers have waited. Here the
//! large ones, the upper third of their queue's latest, get a part of the room that is
//! in proportion to what they ask for, so that they are served about half as often as
//! the small ones and not never. What one group leaves free the other takes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::Estimates;
use crate::jobs::{Job, JobId};

/// Jobs of a queue that are remembered to tell what is large there: a second or two of
/// a turn, and enough for a quantile.
const REMEMBERED: usize = 64;
/// Below so many nothing is known of a queue's sizes.
const FEWEST: usize = 10;
/// A job is large if this part of its queue's latest are smaller.
const SMALLER: f64 = 0.7;

/// Which jobs are large among those of their queue.
#[derive(Debug, Default)]
pub struct Sizes {
    latest: BTreeMap<String, VecDeque<f64>>,
    large: BTreeSet<JobId>,
}

impl Sizes {
    /// A job came.
    pub fn arrived(&mut self, job: &Job, estimates: &Estimates) {
        let work = job.spec.work(&estimates.run_times_ms(job));
        self.note(&job.queue, job.id, work);
    }

    /// A job with this much work came.
    pub fn note(&mut self, queue: &str, job: JobId, work: f64) {
        let latest = self.latest.entry(queue.to_owned()).or_default();
        let smaller = latest.iter().filter(|other| **other < work).count();
        if latest.len() >= FEWEST && smaller as f64 >= SMALLER * latest.len() as f64 {
            self.large.insert(job);
        }
        latest.push_back(work);
        if latest.len() > REMEMBERED {
            latest.pop_front();
        }
    }

    /// Whether a job is large.
    pub fn is_large(&self, job: JobId) -> bool {
        self.large.contains(&job)
    }

    /// Forgets jobs that are over.
    pub fn retain(&mut self, keep: impl Fn(JobId) -> bool) {
        self.large.retain(|job| keep(*job));
    }
}

/// The cores that each group has, and asks for beside them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shares {
    has: [f64; 2],
    asks: [f64; 2],
}

impl Shares {
    /// Counts cores that run.
    pub fn has(&mut self, large: bool, cores: f64) {
        self.has[usize::from(large)] += cores;
    }

    /// Counts cores that are waited for.
    pub fn asks(&mut self, large: bool, cores: f64) {
        self.asks[usize::from(large)] += cores;
    }

    /// How much each group should have in proportion to the other; the large ones count
    /// `large_part` of theirs.
    pub fn weights(&self, large_part: f64) -> [f64; 2] {
        [
            self.has[0] + self.asks[0],
            (self.has[1] + self.asks[1]) * large_part,
        ]
    }

    /// The group that has less of its weight, and so is next: 0 for the small ones.
    pub fn group(&self, weights: [f64; 2]) -> usize {
        let full = |group: usize| self.has[group] / weights[group].max(f64::MIN_POSITIVE);
        usize::from(full(1) < full(0))
    }
}
