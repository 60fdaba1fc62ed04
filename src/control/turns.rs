//! Whose turn comes next.
//!
//! Answers demand that goes round the pools: a machine needs a second and a half to
//! move, so one that starts when the demand is there comes when a third of the turn is
//! over. Turns of even length are foreseen: the next begins as long after the last as
//! that did after the one before, in the pool that has waited longest.

use std::collections::{BTreeMap, VecDeque};

use crate::model::PoolName;

/// Arrivals are kept for so long: a rate is taken over less.
const KEPT_MS: u64 = 2_000;
/// A rate needs so many arrivals, or it is mostly chance.
const ARRIVALS: usize = 8;
/// The shortest time that a rate is taken over.
const SHORTEST_MS: u64 = 400;
/// A turn has begun where a pool gets so many times as much as its own mean.
const RISE: f64 = 2.0;
/// Weight of a new sample (one every 100 ms) in a pool's mean: some 20 s are
/// remembered, a whole round.
const MEAN_WEIGHT: f64 = 0.005;
/// Turns that are remembered.
const TURNS_MAX: usize = 12;
/// Turns are even if no gap between two differs more from the mean gap than this.
const EVEN: f64 = 0.3;
/// How long before a turn begins its machines should set out: the time of a move, and
/// of the new worker's first report and listing.
const AHEAD_MS: u64 = 1_900;
/// How long after its time a turn that was foreseen may begin; then it was a mistake.
const LATE_MS: u64 = 800;

/// The turns of the pools as they went, and the next.
#[derive(Debug, Default)]
pub struct Turns {
    pools: BTreeMap<PoolName, Arrivals>,
    begun: VecDeque<(PoolName, u64)>,
}

#[derive(Debug, Default)]
struct Arrivals {
    /// When jobs came and their core-milliseconds.
    jobs: VecDeque<(u64, f64)>,
    /// Cores that came on average.
    mean: f64,
    /// Cores that came in its last turn at most.
    peak: f64,
    in_turn: bool,
}

impl Turns {
    /// A job came.
    pub fn arrived(&mut self, now_ms: u64, pool: &PoolName, work: f64) {
        let arrivals = self.pools.entry(pool.clone()).or_default();
        arrivals.jobs.push_back((now_ms, work));
    }

    /// The cores that the jobs of a pool ask for as they come; none if few come.
    pub fn rate_cores(&self, now_ms: u64, pool: &PoolName) -> Option<f64> {
        self.pools.get(pool)?.rate(now_ms)
    }

    /// Looks at the rates; due about every 100 ms.
    pub fn tick(&mut self, now_ms: u64) {
        for (pool, arrivals) in &mut self.pools {
            while arrivals
                .jobs
                .front()
                .is_some_and(|(at, _)| now_ms > at + KEPT_MS)
            {
                arrivals.jobs.pop_front();
            }
            let rate = arrivals.rate(now_ms).unwrap_or(0.0);
            arrivals.mean += MEAN_WEIGHT * (rate - arrivals.mean);
            let high = rate > RISE * arrivals.mean && rate > 0.0;
            if high && !arrivals.in_turn {
                arrivals.in_turn = true;
                arrivals.peak = rate;
                self.begun
                    .push_back((pool.clone(), now_ms.saturating_sub(SHORTEST_MS)));
                tracing::info!(%pool, rate, mean = arrivals.mean, "capacity: a pool's turn begins");
            } else if high {
                arrivals.peak = arrivals.peak.max(rate);
            } else if rate < arrivals.mean {
                arrivals.in_turn = false;
            }
        }
        while self.begun.len() > TURNS_MAX {
            self.begun.pop_front();
        }
    }

    /// The pool whose turn should begin soon, and the cores that it will ask for; none
    /// if the turns are not even or nothing begins soon.
    pub fn next(&self, now_ms: u64) -> Option<(&PoolName, f64)> {
        let gap_ms = self.gap_ms()?;
        let (_, last_ms) = self.begun.back()?;
        let begins_ms = last_ms + gap_ms;
        if now_ms + AHEAD_MS < begins_ms || now_ms > begins_ms + LATE_MS {
            return None;
        }
        let last_turn = |pool: &PoolName| {
            let turn = self.begun.iter().rev().find(|(p, _)| p == pool);
            turn.map(|(_, at)| *at)
        };
        let (pool, arrivals) = self.pools.iter().min_by_key(|(pool, _)| last_turn(pool))?;
        if arrivals.in_turn {
            return None;
        }
        let cores = match last_turn(pool) {
            Some(_) => arrivals.peak,
            None => self.usual_peak(),
        };
        Some((pool, cores))
    }

    /// The time from one turn to the next, if the last ones were even.
    fn gap_ms(&self) -> Option<u64> {
        let starts: Vec<u64> = self.begun.iter().rev().take(5).map(|(_, at)| *at).collect();
        let gaps: Vec<f64> = starts
            .windows(2)
            .map(|w| w[0].saturating_sub(w[1]) as f64)
            .collect();
        if gaps.len() < 2 {
            return None;
        }
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let even = gaps.iter().all(|gap| (gap - mean).abs() <= EVEN * mean);
        even.then_some(mean as u64)
    }

    fn usual_peak(&self) -> f64 {
        let peaks: Vec<f64> = self
            .pools
            .values()
            .map(|a| a.peak)
            .filter(|p| *p > 0.0)
            .collect();
        peaks.iter().sum::<f64>() / peaks.len().max(1) as f64
    }
}

impl Arrivals {
    fn rate(&self, now_ms: u64) -> Option<f64> {
        let (first_ms, _) = *self.jobs.get(self.jobs.len().checked_sub(ARRIVALS)?)?;
        let over_ms = now_ms.saturating_sub(first_ms).max(SHORTEST_MS);
        let recent = self.jobs.iter().filter(|(at, _)| at + over_ms >= now_ms);
        let work: f64 = recent.map(|(_, work)| work).sum();
        Some(work / over_ms as f64)
    }
}
