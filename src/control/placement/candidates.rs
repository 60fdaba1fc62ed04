use std::cell::Cell;
use std::collections::BTreeMap;

use super::candidate::Candidate;
use crate::control::PlacementPolicy;
use crate::jobs::{Resources, Step};
use crate::model::InstanceName;

/// Fewest workers with room in a zone that keeps the tasks of a step. In a smaller zone a few
/// steps fill single workers, and the load is spread unevenly.
const MIN_ZONE_WORKERS: usize = 8;

/// The candidates of a pool in the current pass, ordered by their free cores.
///
/// In a pool of thousands of workers, a search through all of them for each task costs more
/// than everything else in a pass. The order lets a search end where no better one follows.
#[derive(Debug, Default)]
pub(super) struct Candidates<'a> {
    all: Vec<Candidate<'a>>,
    /// Positions in `all`, in ascending order of the free cores.
    by_free: Vec<u32>,
    /// Free cores of each zone, in thousandths.
    zone_free: BTreeMap<&'a str, u64>,
    /// Number of candidates that searches have looked at.
    visited: Cell<u64>,
}

/// What a task asks of its worker beside room and constraints.
#[derive(Clone, Copy, Debug)]
pub(super) struct Preferences<'p> {
    /// The worker on which the task failed last.
    pub(super) avoid: Option<&'p InstanceName>,
    pub(super) zone: Option<&'p str>,
    pub(super) rack: Option<&'p str>,
}

impl<'a> Candidates<'a> {
    pub(super) fn new(all: Vec<Candidate<'a>>) -> Self {
        let mut by_free: Vec<u32> = (0..all.len() as u32).collect();
        by_free.sort_by_key(|at| all[*at as usize].free.cpu_milli);
        let mut zone_free: BTreeMap<&str, u64> = BTreeMap::new();
        for candidate in &all {
            *zone_free.entry(candidate.zone).or_default() += u64::from(candidate.free.cpu_milli);
        }
        Self {
            all,
            by_free,
            zone_free,
            visited: Cell::new(0),
        }
    }

    /// Returns how many candidates the searches of this pass have looked at.
    pub(super) fn visited(&self) -> u64 {
        self.visited.get()
    }

    pub(super) fn all(&self) -> &[Candidate<'a>] {
        &self.all
    }

    pub(super) fn all_mut(&mut self) -> impl Iterator<Item = &mut Candidate<'a>> {
        self.all.iter_mut()
    }

    /// Returns the largest free amount of each resource.
    pub(super) fn largest(&self) -> Resources {
        let rooms = self.all.iter().map(|c| c.free);
        rooms.fold(Resources::default(), |most, free| Resources {
            cpu_milli: most.cpu_milli.max(free.cpu_milli),
            memory_mb: most.memory_mb.max(free.memory_mb),
            accelerators: most.accelerators.max(free.accelerators),
        })
    }

    /// Returns the candidates with at least so many free cores, the fullest first.
    fn with_free(&self, cpu_milli: u32) -> impl DoubleEndedIterator<Item = (u32, &Candidate<'a>)> {
        let first = self
            .by_free
            .partition_point(|at| self.all[*at as usize].free.cpu_milli < cpu_milli);
        let fitting = self.by_free[first..].iter();
        fitting.map(|at| {
            self.visited.set(self.visited.get() + 1);
            (*at, &self.all[*at as usize])
        })
    }

    /// Returns whether any candidate has room for a task.
    pub(super) fn any_fits(&self, demand: &Resources) -> bool {
        let mut fitting = self.with_free(demand.cpu_milli).rev();
        fitting.any(|(_, candidate)| candidate.free.fits(demand))
    }

    /// Returns the position of the candidate with the lowest cost for a task of a step, among
    /// those that it may take.
    pub(super) fn best(
        &self,
        step: &Step,
        preferences: Preferences,
        policy: &PlacementPolicy,
        may_take: impl Fn(&Candidate<'a>) -> bool,
    ) -> Option<usize> {
        let mut best: Option<(f64, u32)> = None;
        for (at, candidate) in self.with_free(step.reserved().cpu_milli) {
            // With packing no cost is below the free cores.
            if policy.pack && best.is_some_and(|(cost, _)| candidate.free.cores() >= cost) {
                break;
            }
            if !may_take(candidate) {
                continue;
            }
            let Preferences { avoid, zone, rack } = preferences;
            let cost = candidate.cost(step, avoid, zone, rack, policy);
            if best.is_none_or(|(lowest, first)| (cost, at) < (lowest, first)) {
                best = Some((cost, at));
            }
        }
        best.map(|(_, at)| at as usize)
    }

    /// Reserves the room of a task on a candidate and returns the worker.
    pub(super) fn reserve(&mut self, at: usize, step: &Step) -> &'a InstanceName {
        let before = self.all[at].free.cpu_milli;
        self.all[at].reserve(step);
        self.all[at].step_runs += 1;
        let candidate = &self.all[at];
        let free = candidate.free.cpu_milli;
        if let Some(zone_free) = self.zone_free.get_mut(candidate.zone) {
            *zone_free -= u64::from(before - free);
        }
        // It has less room now, so its position moves toward the beginning.
        let all = &self.all;
        let free_at = |at: &u32| all[*at as usize].free.cpu_milli;
        let from = self.by_free.iter().position(|other| *other == at as u32);
        if let Some(from) = from {
            let to = self.by_free[..from].partition_point(|other| free_at(other) <= free);
            self.by_free[to..=from].rotate_right(1);
        }
        candidate.name
    }

    /// Returns the zone that is best for the waiting tasks of a step: one with room for most of
    /// them, preferably the one where its other tasks run, then the one with the most free cores.
    ///
    /// When a zone is cut off, every job with a task there waits until the leases in it have
    /// expired. With tasks spread over all zones these are nearly all jobs; with the tasks of a
    /// step in one zone, a third of them.
    pub(super) fn best_zone(
        &self,
        step: &Step,
        tasks: usize,
        runs: &BTreeMap<&str, usize>,
        may_run: impl Fn(&Candidate<'a>) -> bool,
    ) -> Option<&'a str> {
        let mut zones: BTreeMap<&'a str, (usize, usize)> = BTreeMap::new();
        let mut full = 0;
        // The emptiest come first, so that a few show that a zone has room for all.
        for (_, candidate) in self.with_free(step.reserved().cpu_milli).rev() {
            if full == self.zone_free.len() {
                break;
            }
            let (all, workers) = zones.entry(candidate.zone).or_default();
            if *all >= tasks && *workers >= MIN_ZONE_WORKERS || !may_run(candidate) {
                continue;
            }
            let fitting = candidate.tasks_that_fit(step);
            if fitting > 0 {
                *all = all.saturating_add(fitting).min(tasks);
                *workers += 1;
                full += usize::from(*all >= tasks && *workers == MIN_ZONE_WORKERS);
            }
        }
        let runs_in = |zone: &str| runs.get(zone).copied().unwrap_or(0);
        let free_in = |zone: &str| self.zone_free.get(zone).copied().unwrap_or(0);
        let best = zones
            .into_iter()
            .filter(|(_, (_, workers))| *workers >= MIN_ZONE_WORKERS)
            .max_by_key(|(zone, (fitting, _))| (*fitting, runs_in(zone), free_in(zone)));
        best.map(|(zone, _)| zone)
    }
}
