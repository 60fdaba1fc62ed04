use std::collections::BTreeMap;

use crate::control::PlacementPolicy;
use crate::jobs::{Resources, Step};
use crate::model::InstanceName;

/// A worker that takes work, with the room that is left on it in the current pass.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) name: &'a InstanceName,
    pub(super) zone: &'a str,
    pub(super) rack: Option<&'a str>,
    pub(super) labels: &'a [String],
    /// Its capacity without the room that lasting tasks hold.
    pub(super) transient_room: Resources,
    pub(super) free: Resources,
    pub(super) serving: u32,
    pub(super) best_effort: u32,
    pub(super) upkeep_due: bool,
    pub(super) failures: f64,
    /// Runs of the step being placed; only set if the step is lasting or limits the runs
    /// per worker.
    pub(super) step_runs: u16,
}

/// Cost per run that a task would interfere with, and of the worker on which it failed
/// last; larger than any difference in load.
const INTERFERENCE_COST: f64 = 1_000.0;
/// Cost for a lasting task of a machine that is due for upkeep.
const UPKEEP_DUE_COST: f64 = 300.0;
/// Cost per run of the same lasting step, which spreads its tasks so that the loss of a
/// worker costs the step only one.
const SAME_STEP_COST: f64 = 60.0;
/// Cost per recent failure on the worker.
const FAILURE_COST: f64 = 200.0;
/// Cost of a zone other than the one that is preferred for the step; larger than any
/// difference in load.
const OTHER_ZONE_COST: f64 = 150.0;
/// Cost of a rack other than that of the data, or than that of the rest of a gang: run times are a multiple
/// there.
const REMOTE_DATA_COST: f64 = 500.0;

impl Candidate<'_> {
    pub(super) fn meets_constraints(&self, step: &Step) -> bool {
        let labelled = step
            .label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label));
        labelled && step.per_worker_max.is_none_or(|max| self.step_runs < max)
    }

    /// Returns how many more tasks of a step the worker has room for.
    pub(super) fn tasks_that_fit(&self, step: &Step) -> usize {
        self.tasks_that_fit_in(&self.free, step)
    }

    fn tasks_that_fit_in(&self, room: &Resources, step: &Step) -> usize {
        if !self.meets_constraints(step) {
            return 0;
        }
        let most = step.per_worker_max.map_or(u32::MAX, |max| {
            u32::from(max.saturating_sub(self.step_runs))
        });
        room.count_fitting(&step.reserved()).min(most) as usize
    }

    /// Returns the cost of placing a task of the step here; the lowest cost wins.
    pub(super) fn cost(
        &self,
        step: &Step,
        avoid: Option<&InstanceName>,
        zone: Option<&str>,
        rack: Option<&str>,
        policy: &PlacementPolicy,
    ) -> f64 {
        let free = self.free.cores();
        let mut cost = if policy.pack { free } else { -free };
        cost += self.failures * FAILURE_COST;
        if avoid == Some(self.name) {
            cost += INTERFERENCE_COST;
        }
        if zone.is_some_and(|zone| zone != self.zone) {
            cost += OTHER_ZONE_COST;
        }
        if step.data_rack.is_some() && step.data_rack.as_deref() != self.rack {
            cost += REMOTE_DATA_COST;
        }
        if rack.is_some() && rack != self.rack {
            cost += REMOTE_DATA_COST;
        }
        if step.lasting {
            cost += f64::from(self.step_runs) * SAME_STEP_COST;
            if self.upkeep_due && policy.avoid_due {
                cost += UPKEEP_DUE_COST;
            }
        }
        if step.best_effort {
            cost += f64::from(self.serving) * INTERFERENCE_COST;
        } else if step.tail_target_ms.is_some() {
            cost += f64::from(self.best_effort) * INTERFERENCE_COST;
        }
        cost
    }

    pub(super) fn reserve(&mut self, step: &Step) {
        self.free = self.free.saturating_sub(&step.reserved());
        self.best_effort += u32::from(step.best_effort);
        self.serving += u32::from(step.tail_target_ms.is_some() && !step.best_effort);
    }
}

/// Returns the rack with the most free cores among those with room for `tasks` tasks of a
/// step on workers that may run it.
pub(super) fn best_rack(
    pool: &[Candidate],
    step: &Step,
    tasks: usize,
    may_run: impl Fn(&Candidate) -> bool,
) -> Option<String> {
    let mut racks: BTreeMap<&str, (usize, u64)> = BTreeMap::new();
    for candidate in pool.iter().filter(|c| may_run(c)) {
        let fitting = candidate.tasks_that_fit(step);
        if let Some(rack) = candidate.rack.filter(|_| fitting > 0) {
            let (all, free) = racks.entry(rack).or_default();
            *all = all.saturating_add(fitting);
            *free += u64::from(candidate.free.cpu_milli);
        }
    }
    let fit = racks.into_iter().filter(|(_, (all, _))| *all >= tasks);
    let best = fit.max_by_key(|(_, (_, free))| *free);
    best.map(|(rack, _)| rack.to_owned())
}

/// Returns whether the workers of any rack could hold `tasks` tasks of a step once all
/// their runs that are not lasting have ended.
pub(super) fn any_rack_could_hold(
    pool: &[Candidate],
    step: &Step,
    tasks: usize,
    could_run: impl Fn(&Candidate) -> bool,
) -> bool {
    let mut racks: BTreeMap<&str, usize> = BTreeMap::new();
    for candidate in pool.iter().filter(|c| could_run(c)) {
        if let Some(rack) = candidate.rack {
            let all = racks.entry(rack).or_default();
            *all = all.saturating_add(candidate.tasks_that_fit_in(&candidate.transient_room, step));
        }
    }
    racks.into_values().any(|all| all >= tasks)
}
