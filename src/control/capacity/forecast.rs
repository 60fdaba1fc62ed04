//! Forecast of the load that each pool gets.
//!
//! Demand rises within seconds, and its peak rotates from pool to pool: each pool has its
//! turn. A machine needs a second and a half to move, so one that is ordered once the
//! demand is there arrives when many jobs are already late. Three signals come earlier: the
//! arrival rate, which rises before the jobs fill the pool; the slope of that rate; and the
//! order of turns. If turns come at regular intervals, the next one is forecast: for the
//! pool that followed the current one the last time or, if there is none, for the pool
//! whose last turn is longest ago.

use std::collections::{BTreeMap, VecDeque};

use crate::control::replication::BUCKET_MS;
use crate::control::{
    Arrivals, Configuration, Estimates, History, Load, NeedsPolicy, Policy, TurnsPolicy,
};
use crate::model::PoolName;

/// Window of arrivals from which the start and the end of a turn are detected.
const TURN_WINDOW_MS: u64 = 2_000;
/// Fewest jobs within [`TURN_WINDOW_MS`] that can start a turn: fewer come by chance.
const MIN_TURN_JOBS: u32 = 3;
/// A turn starts only if the load exceeds the pool's mean by this factor.
const TURN_RISE_FACTOR: f64 = 2.0;
/// A turn starts only above this fraction of the peak of the pool's last turn, and ends
/// below this fraction of its own peak.
const MIN_PEAK_FRACTION: f64 = 0.25;
/// In a pool that had no turn yet, a turn starts only above this fraction of the mean peak
/// of all pools.
const MIN_MEAN_PEAK_FRACTION: f64 = 0.1;
/// Window over which the peak of a turn is measured. After some seconds without a leader
/// all callers that waited come at once; a shorter window would take that for a peak.
const PEAK_WINDOW_MS: u64 = 4_000;
/// Weight of a new sample (one every [`BUCKET_MS`]) in a pool's moving mean, which then
/// covers some 20 s, or several turns.
const MEAN_WEIGHT: f64 = 0.005;
/// Turns that are kept: a few rounds of tens of pools.
const MAX_TURNS: usize = 256;
/// Most windows over which arrivals are counted until there are enough jobs.
const MAX_WINDOWS: u64 = 4;
/// Most intervals between turns that are compared for regularity.
const MAX_GAPS: usize = 4;

/// The load that arriving jobs offer to a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferedLoad {
    /// At the present arrival rate.
    pub load: Load,
    /// Standard deviation of `load`, in cores.
    pub deviation: f64,
    /// Fraction by which `load` is expected to rise until a machine that is ordered now has
    /// arrived.
    pub rise: f64,
    /// Forecast load of the pool's next turn if it begins soon, else zero.
    pub foreseen: Load,
    /// Priority of the queue that offers most of `load`.
    pub priority: u32,
}

/// The arrivals of one queue of a pool.
#[derive(Clone, Copy, Debug)]
struct Inflow<'a> {
    arrivals: &'a Arrivals,
    /// The queue's priority.
    priority: u32,
    /// Correction factor for the callers' estimates of work.
    factor: f64,
}

impl Inflow<'_> {
    /// Returns the mean work of a job: resources times the milliseconds for which it holds
    /// them.
    fn work(&self) -> Load {
        self.arrivals.mean().work.times(self.factor)
    }
}

/// Tracks the turns of the pools and forecasts the next one.
#[derive(Debug, Default)]
pub struct Forecast {
    pools: BTreeMap<PoolName, Turn>,
    /// Pools and start times of past turns, in milliseconds since 1970, the oldest first.
    turn_starts: VecDeque<(PoolName, u64)>,
    /// Time up to which arrivals have been processed, in milliseconds since 1970.
    processed_unix_ms: u64,
}

/// A pool's current or last turn.
#[derive(Debug, Default)]
struct Turn {
    /// Moving mean of the offered load, in cores.
    mean: f64,
    /// Peak of the offered load in the current or last turn, in cores.
    peak: f64,
    /// Peak of the turn before that, in cores; 0 if there was none.
    peak_before: f64,
    /// Start of the current or last turn, in milliseconds since 1970.
    began_unix_ms: u64,
    is_active: bool,
}

impl Forecast {
    /// Processes the arrivals up to now. A new leader first processes the minute of arrivals
    /// that the replicated history holds.
    pub fn tick(
        &mut self,
        now_unix_ms: u64,
        history: &History,
        estimates: &Estimates,
        configuration: &Configuration,
    ) {
        let queues = by_pool(history, estimates, configuration);
        let all = queues.values().flatten();
        let first = all.map(|inflow| inflow.arrivals.first_unix_ms()).min();
        let Some(first_unix_ms) = first else {
            return;
        };
        let mut at_unix_ms = self.processed_unix_ms.max(first_unix_ms) + BUCKET_MS;
        while at_unix_ms <= now_unix_ms {
            for (pool, queues) in &queues {
                self.observe(at_unix_ms, pool, queues);
            }
            self.processed_unix_ms = at_unix_ms;
            at_unix_ms += BUCKET_MS;
        }
        while self.turn_starts.len() > MAX_TURNS {
            self.turn_starts.pop_front();
        }
    }

    fn observe(&mut self, at_unix_ms: u64, pool: &PoolName, queues: &[Inflow]) {
        let mean_peak = self.mean_peak();
        let after_unix_ms = at_unix_ms.saturating_sub(TURN_WINDOW_MS);
        let jobs: u32 = queues
            .iter()
            .map(|inflow| inflow.arrivals.count(after_unix_ms, at_unix_ms))
            .sum();
        let cores = offered_cores(queues, TURN_WINDOW_MS, at_unix_ms);
        let peak_cores = offered_cores(queues, PEAK_WINDOW_MS, at_unix_ms);
        let turn = self.pools.entry(pool.clone()).or_default();
        let min_cores = match turn.peak > 0.0 {
            true => MIN_PEAK_FRACTION * turn.peak,
            false => MIN_MEAN_PEAK_FRACTION * mean_peak,
        };
        let is_peak =
            jobs >= MIN_TURN_JOBS && cores > TURN_RISE_FACTOR * turn.mean && cores > min_cores;
        turn.mean += MEAN_WEIGHT * (cores - turn.mean);
        if turn.is_active {
            turn.peak = turn.peak.max(peak_cores);
            turn.is_active = cores >= MIN_PEAK_FRACTION * turn.peak;
        } else if is_peak {
            turn.is_active = true;
            turn.peak_before = turn.peak;
            turn.peak = peak_cores;
            turn.began_unix_ms = at_unix_ms;
            // A lull within a turn does not start another turn.
            if self.turn_starts.back().is_none_or(|(last, _)| last != pool) {
                self.turn_starts.push_back((pool.clone(), after_unix_ms));
                tracing::info!(%pool, cores, mean = turn.mean, "capacity: a pool's turn begins");
            }
        }
    }

    /// Returns the load that is offered to each pool now and in its forecast turn.
    pub fn offers(
        &self,
        now_unix_ms: u64,
        history: &History,
        estimates: &Estimates,
        configuration: &Configuration,
        policy: &Policy,
    ) -> BTreeMap<PoolName, OfferedLoad> {
        let queues = by_pool(history, estimates, configuration);
        let mut offers: BTreeMap<PoolName, OfferedLoad> = queues
            .iter()
            .map(|(pool, queues)| (pool.clone(), offer(now_unix_ms, queues, &policy.needs)))
            .collect();
        let next = self.next_turns(now_unix_ms, &policy.turns);
        let begun = self.begun_turns(now_unix_ms, &policy.turns);
        for (pool, cores) in next.into_iter().chain(begun) {
            let mean_work = queues.get(pool).map(|queues| mean_job_work(queues));
            let mean_work = mean_work.filter(|load| load.cores > 0.0);
            let foreseen = match mean_work {
                Some(load) => load.times(cores / load.cores),
                None => Load::of_cores(cores),
            };
            let offer = offers.entry(pool.clone()).or_default();
            offer.foreseen = offer.foreseen.max(&foreseen);
        }
        offers
    }

    /// Returns the pools whose turn should begin soon, with the cores to prepare for each.
    /// Empty if turns do not come at regular intervals, none begins soon, or there are more
    /// candidates than the policy allows.
    pub fn next_turns(&self, now_unix_ms: u64, policy: &TurnsPolicy) -> Vec<(&PoolName, f64)> {
        let Some(gap_ms) = self.gap_ms(policy).filter(|_| policy.foresee) else {
            return Vec::new();
        };
        let Some((current, last_unix_ms)) = self.turn_starts.back() else {
            return Vec::new();
        };
        let begins_unix_ms = last_unix_ms + gap_ms;
        let soon = now_unix_ms + policy.ahead_ms >= begins_unix_ms
            && now_unix_ms <= begins_unix_ms + policy.late_ms;
        if !soon {
            return Vec::new();
        }
        let pools = self.candidates(current);
        if pools.len() > policy.pools {
            return Vec::new();
        }
        let cores = |pool: &PoolName| {
            let peak = self.pools.get(pool).map_or(0.0, |turn| turn.peak);
            if peak > 0.0 { peak } else { self.mean_peak() }
        };
        let prepared = pools
            .into_iter()
            .map(|pool| (pool, cores(pool) * policy.peak_part));
        prepared.collect()
    }

    /// Returns the pools whose turn began a moment ago, with the cores to prepare for each.
    ///
    /// The load of the first seconds is known from few jobs, and machines that are ordered as
    /// it rises come too late for those that follow. A turn is expected to be like the last one
    /// of its pool or, if it had none, like those of the other pools.
    fn begun_turns(&self, now_unix_ms: u64, policy: &TurnsPolicy) -> Vec<(&PoolName, f64)> {
        if !policy.foresee {
            return Vec::new();
        }
        let is_new =
            |turn: &Turn| turn.is_active && now_unix_ms < turn.began_unix_ms + PEAK_WINDOW_MS;
        let begun = self.pools.iter().filter(|(_, turn)| is_new(turn));
        let expected = begun.map(|(pool, turn)| {
            let peak = match turn.peak_before > 0.0 {
                true => turn.peak_before,
                false => self.mean_peak_of_others(pool),
            };
            (pool, peak * policy.begun_part)
        });
        expected.filter(|(_, cores)| *cores > 0.0).collect()
    }

    /// Returns the cores to keep for the first turn of a pool that had none, while other pools
    /// had theirs; 0 for a pool that had one.
    pub fn awaited_cores(&self, pool: &PoolName, policy: &TurnsPolicy) -> f64 {
        let had_turn = self.pools.get(pool).is_some_and(|turn| turn.peak > 0.0);
        match policy.foresee && !had_turn {
            true => self.mean_peak() * policy.awaited_part,
            false => 0.0,
        }
    }

    /// Returns the longest time that a round of turns takes, in which each pool has its turn
    /// once, by the last intervals between turns; `None` before the second turn.
    pub fn round_ms(&self) -> Option<u64> {
        let longest_ms = self.gaps_ms().max()?;
        let pools = self.pools.values().filter(|turn| turn.peak > 0.0).count();
        Some(longest_ms * pools as u64)
    }

    /// Returns the candidates for the turn after that of `current`: the pool that followed it
    /// the last time or, if none did, all pools whose last turn is longest ago.
    fn candidates(&self, current: &PoolName) -> Vec<&PoolName> {
        let turns: Vec<&PoolName> = self.turn_starts.iter().map(|(pool, _)| pool).collect();
        let before = turns.windows(2).rev().find(|pair| pair[0] == current);
        if let Some(pair) = before {
            return vec![pair[1]];
        }
        let waiting = self.pools.iter().filter(|(_, turn)| !turn.is_active);
        let last = |pool: &PoolName| {
            let turn = self.turn_starts.iter().rev().find(|(p, _)| p == pool);
            turn.map(|(_, at)| *at)
        };
        let longest = waiting.clone().map(|(pool, _)| last(pool)).min();
        waiting
            .filter(|(pool, _)| Some(last(pool)) == longest)
            .map(|(pool, _)| pool)
            .collect()
    }

    /// Returns the mean interval between turns, if the last intervals were regular.
    fn gap_ms(&self, policy: &TurnsPolicy) -> Option<u64> {
        let gaps: Vec<f64> = self.gaps_ms().map(|gap_ms| gap_ms as f64).collect();
        if gaps.len() < policy.gaps.max(1) {
            return None;
        }
        let mean = gaps.iter().sum::<f64>() / gaps.len() as f64;
        let is_regular = |gap: &f64| (gap - mean).abs() <= policy.even_part * mean;
        gaps.iter().all(is_regular).then_some(mean as u64)
    }

    /// Returns the last intervals between turns.
    fn gaps_ms(&self) -> impl Iterator<Item = u64> {
        let starts = self.turn_starts.iter().rev().map(|(_, at)| *at);
        let before = self.turn_starts.iter().rev().skip(1).map(|(_, at)| *at);
        let gaps = starts.zip(before).take(MAX_GAPS);
        gaps.map(|(at, before)| at.saturating_sub(before))
    }

    fn mean_peak(&self) -> f64 {
        mean_positive(self.pools.values().map(|turn| turn.peak))
    }

    fn mean_peak_of_others(&self, pool: &PoolName) -> f64 {
        let others = self.pools.iter().filter(|(other, _)| *other != pool);
        mean_positive(others.map(|(_, turn)| turn.peak))
    }
}

/// Returns the mean of the values above 0, 0 if there are none.
fn mean_positive(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.filter(|value| *value > 0.0).collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn by_pool<'a>(
    history: &'a History,
    estimates: &Estimates,
    configuration: &Configuration,
) -> BTreeMap<PoolName, Vec<Inflow<'a>>> {
    let queues = configuration.queues_by_name();
    let mut pools: BTreeMap<PoolName, Vec<Inflow>> = BTreeMap::new();
    for (name, arrivals) in history.arrivals() {
        if let Some(queue) = queues.get(name.as_str()) {
            let inflow = Inflow {
                arrivals,
                priority: queue.priority,
                factor: estimates.work_factor(name),
            };
            pools.entry(queue.pool.clone()).or_default().push(inflow);
        }
    }
    pools
}

/// Returns the mean load that arriving jobs offered in the `over_ms` before `to_unix_ms`, in
/// cores.
fn offered_cores(queues: &[Inflow], over_ms: u64, to_unix_ms: u64) -> f64 {
    let after_unix_ms = to_unix_ms.saturating_sub(over_ms);
    let cores = queues.iter().map(|inflow| {
        let jobs = f64::from(inflow.arrivals.count(after_unix_ms, to_unix_ms));
        jobs * inflow.work().cores / over_ms as f64
    });
    cores.sum()
}

/// Returns the mean work of a job, summed over the queues.
fn mean_job_work(queues: &[Inflow]) -> Load {
    let loads = queues.iter().map(Inflow::work);
    loads.fold(Load::default(), |sum, load| sum.plus(&load))
}

/// Returns the load that the jobs of some queues offer together.
fn offer(now_unix_ms: u64, queues: &[Inflow], needs: &NeedsPolicy) -> OfferedLoad {
    let mut rises = 0.0;
    let mut most_cores = -1.0;
    let mut sum = OfferedLoad::default();
    for inflow in queues {
        let queue_load = queue_offer(now_unix_ms, inflow, needs);
        if queue_load.load.cores > most_cores {
            most_cores = queue_load.load.cores;
            sum.priority = queue_load.priority;
        }
        sum.load = sum.load.plus(&queue_load.load);
        sum.deviation = sum.deviation.hypot(queue_load.deviation);
        rises += queue_load.rise * queue_load.load.cores;
    }
    if sum.load.cores > 0.0 {
        sum.rise = rises / sum.load.cores;
    }
    sum
}

fn queue_offer(now_unix_ms: u64, inflow: &Inflow, needs: &NeedsPolicy) -> OfferedLoad {
    // The current bucket is not complete yet.
    let now_unix_ms = now_unix_ms.saturating_sub(BUCKET_MS);
    let back = |ms: u64| now_unix_ms.saturating_sub(ms);
    let arrivals = inflow.arrivals;
    let count = |from_ms: u64, to_ms: u64| f64::from(arrivals.count(back(from_ms), back(to_ms)));
    let windows = [1, 2, 3, MAX_WINDOWS].map(|times| times * needs.window_ms);
    let enough = |ms: &&u64| count(**ms, 0) >= f64::from(needs.jobs);
    let window_ms = windows.iter().find(enough).copied();
    let window_ms = window_ms.unwrap_or(needs.window_ms * MAX_WINDOWS);
    let rate = count(window_ms, 0) / window_ms as f64;
    let half_ms = needs.window_ms / 2;
    let (newer, older) = (count(half_ms, 0), count(2 * half_ms, half_ms));
    let is_significant = newer - older > needs.rise_deviations * (newer + older).sqrt();
    let per_ms = (newer - older) / (half_ms * half_ms) as f64;
    // From the middle of the window until `needs.ahead_ms` from now.
    let ahead_ms = (needs.ahead_ms + half_ms) as f64;
    let rise = match is_significant && needs.ahead_ms > 0 && rate > 0.0 {
        true => (per_ms * ahead_ms * needs.rise_part / rate).min(needs.rise_most),
        false => 0.0,
    };
    OfferedLoad {
        load: inflow.work().times(rate),
        deviation: arrivals.variance(rate).sqrt() * inflow.factor.sqrt(),
        rise,
        foreseen: Load::default(),
        priority: inflow.priority,
    }
}
