use std::collections::BTreeMap;

use super::PlacementPolicy;
use crate::jobs::{Room, Step};
use crate::model::InstanceName;

/// A worker with what is left of its room in this pass.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) name: &'a InstanceName,
    pub(super) rack: Option<&'a str>,
    pub(super) labels: &'a [String],
    /// Its room without what lasting tasks hold.
    pub(super) room: Room,
    pub(super) free: Room,
    pub(super) serving: u32,
    pub(super) best_effort: u32,
    pub(super) due: bool,
    pub(super) failures: f64,
    /// Runs of the step that is being placed, where their number matters.
    pub(super) here: u16,
}

/// Moves a lasting task away from where it would disturb or be disturbed; larger
/// than any difference in load.
const APART_COST: f64 = 1_000.0;
/// Moves a lasting task away from a machine that is due for upkeep.
const DUE_COST: f64 = 300.0;
/// Spreads the lasting tasks of one step: a lost worker should cost it one.
const SAME_STEP_COST: f64 = 60.0;
/// Moves work away from a worker with recent failures.
const FAILURE_COST: f64 = 200.0;
/// Work far from its data takes a multiple of the time.
const FAR_COST: f64 = 500.0;

impl Candidate<'_> {
    pub(super) fn suits(&self, step: &Step) -> bool {
        let labelled = step
            .label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label));
        labelled && step.per_worker_max.is_none_or(|max| self.here < max)
    }

    /// How many more tasks of a step it has room for.
    pub(super) fn places(&self, step: &Step) -> usize {
        self.places_in(&self.free, step)
    }

    fn places_in(&self, room: &Room, step: &Step) -> usize {
        if !self.suits(step) {
            return 0;
        }
        let most = step
            .per_worker_max
            .map_or(u32::MAX, |max| u32::from(max.saturating_sub(self.here)));
        room.times_holds(&step.reserved()).min(most) as usize
    }

    pub(super) fn cost(
        &self,
        step: &Step,
        avoid: Option<&InstanceName>,
        rack: Option<&str>,
        policy: &PlacementPolicy,
    ) -> f64 {
        let free = self.free.cores();
        let mut cost = if policy.pack { free } else { -free };
        cost += self.failures * FAILURE_COST;
        if avoid == Some(self.name) {
            cost += APART_COST;
        }
        if step.data_rack.is_some() && step.data_rack.as_deref() != self.rack {
            cost += FAR_COST;
        }
        if rack.is_some() && rack != self.rack {
            cost += FAR_COST;
        }
        if step.lasting {
            cost += f64::from(self.here) * SAME_STEP_COST;
            if self.due && policy.avoid_due {
                cost += DUE_COST;
            }
        }
        if step.best_effort {
            cost += f64::from(self.serving) * APART_COST;
        } else if step.tail_target_ms.is_some() {
            cost += f64::from(self.best_effort) * APART_COST;
        }
        cost
    }

    pub(super) fn take(&mut self, step: &Step) {
        self.free = self.free.less(&step.reserved());
        self.best_effort += u32::from(step.best_effort);
        self.serving += u32::from(step.tail_target_ms.is_some() && !step.best_effort);
    }
}

/// The rack with the most room, of those that have room for so many tasks of a step on
/// workers that may run it.
pub(super) fn best_rack(
    pool: &[Candidate],
    step: &Step,
    tasks: usize,
    may_run: impl Fn(&Candidate) -> bool,
) -> Option<String> {
    let mut racks: BTreeMap<&str, (usize, u64)> = BTreeMap::new();
    for candidate in pool.iter().filter(|c| may_run(c)) {
        let places = candidate.places(step);
        if let Some(rack) = candidate.rack.filter(|_| places > 0) {
            let (all, free) = racks.entry(rack).or_default();
            *all = all.saturating_add(places);
            *free += u64::from(candidate.free.cpu_milli);
        }
    }
    let fit = racks.into_iter().filter(|(_, (all, _))| *all >= tasks);
    let best = fit.max_by_key(|(_, (_, free))| *free);
    best.map(|(rack, _)| rack.to_owned())
}

/// Whether the workers of a rack would have room for so many tasks of a step once all that
/// ends by itself has ended there.
pub(super) fn a_rack_could_hold(
    pool: &[Candidate],
    step: &Step,
    tasks: usize,
    may_ever: impl Fn(&Candidate) -> bool,
) -> bool {
    let mut racks: BTreeMap<&str, usize> = BTreeMap::new();
    for candidate in pool.iter().filter(|c| may_ever(c)) {
        if let Some(rack) = candidate.rack {
            let all = racks.entry(rack).or_default();
            *all = all.saturating_add(candidate.places_in(&candidate.room, step));
        }
    }
    racks.into_values().any(|all| all >= tasks)
}
