use std::collections::{BTreeMap, BTreeSet};

use crate::model::{Instance, InstanceName, PoolName};

use super::{
    ControllerAction, ControllerSettings, Detector, Fleet, FleetCommand, InstanceSeen, Observed,
    PlatformOrder, Room, StopProof,
};

mod absences;
mod loans;
mod repairs;
mod waves;

/// The part of a limit that a controller must have watched itself: half leaves
/// four times the expected time, and a new leader sets nothing aside at once.
const WATCHED_PART: u64 = 2;

/// Runs the fleet's maintenance on the leader: finds failures, proves stops,
/// finishes moves, runs waves and repairs.
///
/// What it keeps is only memory of what was heard; all that was decided is in
/// the [`Fleet`]. A new leader starts with an empty controller and loses no more
/// than waiting times. It may propose what the fleet then refuses: the budget is
/// checked once more where the log puts commands in one order.
#[derive(Debug)]
pub struct Controller {
    settings: ControllerSettings,
    detector: Detector,
    proofs: BTreeMap<InstanceName, StopProof>,
    /// Instances away that were heard again: the incarnation, and since when.
    heard_back: BTreeMap<InstanceName, (u64, u64)>,
    /// Absent instances: the revision seen, and since when.
    watched: BTreeMap<InstanceName, (u64, u64)>,
    proposed: BTreeMap<InstanceName, Proposed>,
    ordered: BTreeMap<InstanceName, (PlatformOrder, u64, u64)>,
    broken_since_ms: BTreeMap<PoolName, u64>,
}

/// A proposal that is not in the fleet yet.
#[derive(Debug)]
struct Proposed {
    revision: u64,
    until_ms: u64,
    /// Whether it takes a serving instance out of its pool.
    takes_room: bool,
}

/// One step's view: what was handed in, and what it decided up to now.
struct Step<'a> {
    now_ms: u64,
    fleet: &'a Fleet,
    observed: &'a Observed,
    rooms: BTreeMap<PoolName, Room>,
    out: Vec<ControllerAction>,
    proposals: usize,
}

impl Controller {
    /// A controller of a leader that starts to lead at `now_ms`.
    pub fn new(settings: ControllerSettings, now_ms: u64) -> Self {
        Self {
            settings,
            detector: Detector::new(now_ms),
            proofs: BTreeMap::new(),
            heard_back: BTreeMap::new(),
            watched: BTreeMap::new(),
            proposed: BTreeMap::new(),
            ordered: BTreeMap::new(),
            broken_since_ms: BTreeMap::new(),
        }
    }

    /// Decides on what was heard up to now. To be called each second or so.
    pub fn step(
        &mut self,
        now_ms: u64,
        fleet: &Fleet,
        observed: &Observed,
    ) -> Vec<ControllerAction> {
        self.forget(now_ms, fleet);
        let mut step = Step {
            now_ms,
            fleet,
            observed,
            rooms: self.taken_rooms(fleet),
            out: Vec::new(),
            proposals: 0,
        };
        self.detect(&mut step);
        self.follow_absences(&mut step);
        self.repair(&mut step);
        self.run_waves(&mut step);
        self.settle_loans(&mut step);
        step.out
    }

    /// What each draining instance still waits for, for `explain`.
    pub fn waits_for(
        &self,
        now_ms: u64,
        instance: &InstanceName,
        observed: &Observed,
    ) -> Option<String> {
        let proof = self.proofs.get(instance)?;
        let verdict = proof.verdict(now_ms, &self.settings, instance, observed);
        Some(verdict.to_string())
    }

    fn forget(&mut self, now_ms: u64, fleet: &Fleet) {
        self.proposed.retain(|name, proposed| {
            let revision = fleet.record(name).map(|r| r.revision);
            revision == Some(proposed.revision) && now_ms < proposed.until_ms
        });
        let absent = |name: &InstanceName| fleet.absent().contains(name);
        self.proofs.retain(|name, _| absent(name));
        self.heard_back.retain(|name, _| absent(name));
        self.ordered.retain(|name, _| absent(name));
        self.watched.retain(|name, _| absent(name));
        for name in fleet.absent() {
            let revision = fleet.record(name).map_or(0, |r| r.revision);
            let watched = self.watched.entry(name.clone());
            let watched = watched.or_insert((revision, now_ms));
            if watched.0 != revision {
                *watched = (revision, now_ms);
            }
        }
        self.broken_since_ms
            .retain(|pool, _| fleet.broken().contains(pool));
        for pool in fleet.broken() {
            let since = self.broken_since_ms.entry(pool.clone());
            since.or_insert(now_ms);
        }
    }

    /// Rooms of the pools as they will be once the open proposals are applied.
    fn taken_rooms(&self, fleet: &Fleet) -> BTreeMap<PoolName, Room> {
        let mut rooms = BTreeMap::new();
        for (name, proposed) in &self.proposed {
            let instance = fleet.instances().get(name);
            if let Some(instance) = instance.filter(|_| proposed.takes_room) {
                room(&mut rooms, fleet, &instance.pool).remove(&instance.rack);
            }
        }
        rooms
    }

    /// Proposes a change of one instance, unless one is open already or the step
    /// has proposed its share.
    fn propose(&mut self, step: &mut Step<'_>, name: &InstanceName, command: FleetCommand) -> bool {
        let full = step.proposals >= self.settings.proposals_per_step;
        if full || self.proposed.contains_key(name) {
            return false;
        }
        let takes_room = matches!(
            command,
            FleetCommand::BeginAbsence { .. } | FleetCommand::Lend { .. }
        );
        if let Some(instance) = step.fleet.instances().get(name).filter(|_| takes_room) {
            step.room(&instance.pool).remove(&instance.rack);
        }
        let revision = step.fleet.record(name).map_or(0, |r| r.revision);
        let until_ms = step.now_ms + self.settings.again_ms;
        self.proposed.insert(
            name.clone(),
            Proposed {
                revision,
                until_ms,
                takes_room,
            },
        );
        step.proposals += 1;
        step.out.push(ControllerAction::Propose(command));
        true
    }

    /// Whether an absence has lasted longer than `limit_ms`, by the times in the
    /// log and, for a part of it, by this controller's own watch: a wall clock
    /// that jumps ahead would else set aside all that reboots at the moment.
    fn is_overdue(&self, step: &Step<'_>, name: &InstanceName, limit_ms: u64) -> bool {
        let since_ms = self
            .watched
            .get(name)
            .map_or(step.now_ms, |watched| watched.1);
        let watched_ms = step.now_ms.saturating_sub(since_ms);
        step.since_ms(name) > limit_ms && watched_ms > limit_ms / WATCHED_PART
    }

    /// Gives an order, again only after a while without effect.
    fn order(
        &mut self,
        step: &mut Step<'_>,
        name: &InstanceName,
        incarnation: u64,
        order: PlatformOrder,
    ) {
        let known = self.ordered.get(name);
        let recent = known.is_some_and(|(last, to, at_ms)| {
            *last == order && *to == incarnation && step.now_ms < at_ms + self.settings.again_ms
        });
        if recent {
            return;
        }
        let entry = (order, incarnation, step.now_ms);
        self.ordered.insert(name.clone(), entry);
        step.out.push(ControllerAction::Order {
            instance: name.clone(),
            incarnation,
            order,
        });
    }
}

impl<'a> Step<'a> {
    fn room(&mut self, pool: &PoolName) -> &mut Room {
        room(&mut self.rooms, self.fleet, pool)
    }

    fn seen(&self, name: &InstanceName) -> Option<&'a InstanceSeen> {
        self.observed.instances.get(name)
    }

    /// Time since the instance's duty changed, by the wall clocks of the
    /// proposers; a new leader needs no memory of its own for it.
    fn since_ms(&self, name: &InstanceName) -> u64 {
        let since = self.fleet.record(name).map_or(0, |r| r.since_unix_ms);
        self.observed.unix_ms.saturating_sub(since)
    }

    fn members(&self, pool: &PoolName) -> impl Iterator<Item = &'a Instance> {
        let fleet = self.fleet;
        let names = fleet.tally(pool).map(|t| t.members());
        names
            .into_iter()
            .flatten()
            .filter_map(|name| fleet.instances().get(name))
    }
}

fn room<'r>(
    rooms: &'r mut BTreeMap<PoolName, Room>,
    fleet: &Fleet,
    pool: &PoolName,
) -> &'r mut Room {
    rooms.entry(pool.clone()).or_insert_with(|| {
        let tally = fleet.tally(pool);
        tally.map(|t| t.room().clone()).unwrap_or_default()
    })
}

/// Names that a step walks while it changes the controller.
fn names(set: &BTreeSet<InstanceName>) -> Vec<InstanceName> {
    set.iter().cloned().collect()
}
