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

/// Divisor of a timeout that gives the time for which this controller itself must
/// have observed the absence. Half the timeout is still four times the expected
/// time, and keeps a new leader from setting instances aside at once.
const WATCHED_TIMEOUT_DIVISOR: u64 = 2;

/// Runs the fleet's maintenance on the leader: detects failures, proves stops,
/// finishes moves, and runs waves and repairs.
///
/// It keeps only observations; all decisions are in the [`Fleet`]. A new leader
/// starts with an empty controller and loses nothing but elapsed waiting times.
/// The fleet may refuse a proposal, because it checks the budget again when the
/// command is applied in log order.
#[derive(Debug)]
pub struct Controller {
    settings: ControllerSettings,
    detector: Detector,
    proofs: BTreeMap<InstanceName, StopProof>,
    /// Away instances that report again: the incarnation, and the time of its first
    /// report.
    returned_since: BTreeMap<InstanceName, (u64, u64)>,
    /// Absent instances: the revision of their record, and when it was first observed.
    watched: BTreeMap<InstanceName, (u64, u64)>,
    proposed: BTreeMap<InstanceName, Proposed>,
    /// The last order to each absent instance, its incarnation, and when it was sent.
    ordered: BTreeMap<InstanceName, (PlatformOrder, u64, u64)>,
    broken_since_ms: BTreeMap<PoolName, u64>,
}

/// A proposal that is not applied to the fleet yet.
#[derive(Debug)]
struct Proposed {
    revision: u64,
    expires_ms: u64,
    /// Whether it takes a serving instance out of service.
    takes_serving: bool,
}

/// Inputs of one step and the actions decided so far.
struct Step<'a> {
    now_ms: u64,
    fleet: &'a Fleet,
    observed: &'a Observed,
    rooms: BTreeMap<PoolName, Room>,
    actions: Vec<ControllerAction>,
    proposals: usize,
}

impl Controller {
    /// Creates the controller of a leader whose leadership starts at `now_ms`.
    pub fn new(settings: ControllerSettings, now_ms: u64) -> Self {
        Self {
            settings,
            detector: Detector::new(now_ms),
            proofs: BTreeMap::new(),
            returned_since: BTreeMap::new(),
            watched: BTreeMap::new(),
            proposed: BTreeMap::new(),
            ordered: BTreeMap::new(),
            broken_since_ms: BTreeMap::new(),
        }
    }

    /// Decides the next actions from the reports so far. The leader calls it about
    /// once per second.
    pub fn step(
        &mut self,
        now_ms: u64,
        fleet: &Fleet,
        observed: &Observed,
    ) -> Vec<ControllerAction> {
        self.prune(now_ms, fleet);
        let mut step = Step {
            now_ms,
            fleet,
            observed,
            rooms: self.projected_rooms(fleet),
            actions: Vec::new(),
            proposals: 0,
        };
        self.detect(&mut step);
        self.follow_absences(&mut step);
        self.repair(&mut step);
        self.run_waves(&mut step);
        self.update_loans(&mut step);
        step.actions
    }

    /// Returns what a draining instance still waits for, as text for `explain`, or none
    /// if there is no proof in progress.
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

    fn prune(&mut self, now_ms: u64, fleet: &Fleet) {
        self.proposed.retain(|name, proposed| {
            let revision = fleet.record(name).map(|r| r.revision);
            revision == Some(proposed.revision) && now_ms < proposed.expires_ms
        });
        let absent = |name: &InstanceName| fleet.absent().contains(name);
        self.proofs.retain(|name, _| absent(name));
        self.returned_since.retain(|name, _| absent(name));
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

    /// Rooms of the pools after the pending proposals are applied. Holds only pools
    /// that these proposals affect.
    fn projected_rooms(&self, fleet: &Fleet) -> BTreeMap<PoolName, Room> {
        let mut rooms = BTreeMap::new();
        for (name, proposed) in &self.proposed {
            let instance = fleet.instances().get(name);
            if let Some(instance) = instance.filter(|_| proposed.takes_serving) {
                room(&mut rooms, fleet, &instance.pool).remove_serving(&instance.rack);
            }
        }
        rooms
    }

    /// Proposes a change of one instance, unless one is pending already or the step
    /// has reached its limit. Returns whether it did.
    fn propose(&mut self, step: &mut Step<'_>, name: &InstanceName, command: FleetCommand) -> bool {
        let full = step.proposals >= self.settings.proposals_per_step;
        if full || self.proposed.contains_key(name) {
            return false;
        }
        let takes_serving = matches!(
            command,
            FleetCommand::BeginAbsence { .. } | FleetCommand::Lend { .. }
        );
        if let Some(instance) = step.fleet.instances().get(name).filter(|_| takes_serving) {
            step.room(&instance.pool).remove_serving(&instance.rack);
        }
        let revision = step.fleet.record(name).map_or(0, |r| r.revision);
        let expires_ms = step.now_ms + self.settings.retry_interval_ms;
        self.proposed.insert(
            name.clone(),
            Proposed {
                revision,
                expires_ms,
                takes_serving,
            },
        );
        step.proposals += 1;
        step.actions.push(ControllerAction::Propose(command));
        true
    }

    /// Whether an absence has lasted longer than `timeout_ms` by the wall-clock times in
    /// the log and longer than a part of it by this controller's monotonic clock.
    /// Otherwise a wall clock that jumps ahead would set aside every instance that
    /// is rebooting.
    fn is_overdue(&self, step: &Step<'_>, name: &InstanceName, timeout_ms: u64) -> bool {
        let since_ms = self
            .watched
            .get(name)
            .map_or(step.now_ms, |watched| watched.1);
        let watched_ms = step.now_ms.saturating_sub(since_ms);
        step.since_ms(name) > timeout_ms && watched_ms > timeout_ms / WATCHED_TIMEOUT_DIVISOR
    }

    /// Sends an order, and repeats it only after the retry interval.
    fn order(
        &mut self,
        step: &mut Step<'_>,
        name: &InstanceName,
        incarnation: u64,
        order: PlatformOrder,
    ) {
        let known = self.ordered.get(name);
        let recent = known.is_some_and(|(last, to, at_ms)| {
            *last == order
                && *to == incarnation
                && step.now_ms < at_ms + self.settings.retry_interval_ms
        });
        if recent {
            return;
        }
        let entry = (order, incarnation, step.now_ms);
        self.ordered.insert(name.clone(), entry);
        step.actions.push(ControllerAction::Order {
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

    /// Time since the instance's duty changed, by the wall clocks of the proposers, so
    /// that a new leader knows it too.
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

/// Copies names, so that a step can iterate over them while it changes the
/// controller.
fn collect_names(set: &BTreeSet<InstanceName>) -> Vec<InstanceName> {
    set.iter().cloned().collect()
}
