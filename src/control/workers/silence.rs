use std::collections::{BTreeMap, BTreeSet};

use crate::model::{RackName, ZoneName};

/// Shortest silence of a group of workers that counts. Calls to workers take some
/// milliseconds, and a leader that is busy reads their answers up to a tenth of a second late.
const MIN_SILENCE_MS: u64 = 250;
/// Longest time between two answers of an idle worker, which holds a renewal that long.
const ANSWER_INTERVAL_MS: u64 = 2_000;
/// Answers of a group that are due and have not come when the group counts as silent. Fewer
/// may be missing by chance.
const MISSING_ANSWERS: u64 = 12;

/// The answers of the workers of each availability zone and rack.
///
/// When a zone is cut off, each of its workers counts as silent only after its own renewal
/// has timed out. Until then a third of all tasks would be placed there, and wait for the end
/// of leases that these starts extend. All workers of a zone together answer so often that a
/// fraction of a second without any answer shows the cut. A leader that hears nobody learns
/// nothing of the workers.
///
/// The counts follow the answers: looking through all workers each time cost a leader of
/// thousands of them more than everything else that it does while nothing happens.
#[derive(Debug, Default)]
pub(super) struct Silence {
    groups: Vec<Group>,
    zones: BTreeMap<ZoneName, usize>,
    racks: BTreeMap<(ZoneName, RackName), usize>,
}

/// The answers of an availability zone's or a rack's workers.
#[derive(Debug, Default)]
struct Group {
    workers: u64,
    heard_ms: u64,
}

impl Group {
    fn is_silent(&self, now_ms: u64) -> bool {
        let due_ms = MISSING_ANSWERS * ANSWER_INTERVAL_MS / self.workers.max(1);
        self.workers > 0 && now_ms > self.heard_ms + due_ms.max(MIN_SILENCE_MS)
    }
}

/// The groups that a worker belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WorkerGroups {
    zone: usize,
    rack: Option<usize>,
}

impl WorkerGroups {
    fn iter(self) -> impl Iterator<Item = usize> {
        [Some(self.zone), self.rack].into_iter().flatten()
    }
}

impl Silence {
    /// Adds a worker to the groups of its zone and rack.
    pub(super) fn add(&mut self, zone: &ZoneName, rack: Option<&RackName>) -> WorkerGroups {
        let groups = &mut self.groups;
        let mut new_group = || {
            groups.push(Group::default());
            groups.len() - 1
        };
        let zone_group = match self.zones.get(zone) {
            Some(group) => *group,
            None => *self
                .zones
                .entry(zone.clone())
                .or_insert_with(&mut new_group),
        };
        let rack_group = rack.map(|rack| {
            let key = (zone.clone(), rack.clone());
            *self.racks.entry(key).or_insert_with(&mut new_group)
        });
        let worker = WorkerGroups {
            zone: zone_group,
            rack: rack_group,
        };
        for group in worker.iter() {
            self.groups[group].workers += 1;
        }
        worker
    }

    /// Removes a worker from its groups.
    pub(super) fn remove(&mut self, worker: WorkerGroups) {
        for group in worker.iter() {
            self.groups[group].workers -= 1;
        }
    }

    /// Records when a worker was heard.
    pub(super) fn record_heard(&mut self, worker: WorkerGroups, heard_ms: u64) {
        for group in worker.iter() {
            let group = &mut self.groups[group];
            group.heard_ms = group.heard_ms.max(heard_ms);
        }
    }

    /// Returns whether any zone or rack is silent.
    pub(super) fn is_any_silent(&self, now_ms: u64) -> bool {
        let counted = self.groups.iter().filter(|group| group.workers > 0);
        let heard_ms = counted.map(|group| group.heard_ms).max();
        heard_ms.is_some_and(|heard_ms| now_ms <= heard_ms + MIN_SILENCE_MS)
            && self.groups.iter().any(|group| group.is_silent(now_ms))
    }

    /// Returns the zones that are silent.
    pub(super) fn silent_zones(&self, now_ms: u64) -> BTreeSet<ZoneName> {
        if !self.is_any_silent(now_ms) {
            return BTreeSet::new();
        }
        let zones = self.zones.iter();
        let silent = zones.filter(|(_, group)| self.groups[**group].is_silent(now_ms));
        silent.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns whether the zone or the rack of a worker is silent.
    pub(super) fn is_silent(&self, now_ms: u64, worker: WorkerGroups) -> bool {
        worker
            .iter()
            .any(|group| self.groups[group].is_silent(now_ms))
    }
}
