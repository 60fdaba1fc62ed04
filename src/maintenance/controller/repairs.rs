//! Failures found, and failed instances restored or replaced unasked.

use std::collections::BTreeMap;

use crate::model::{Absence, DesiredState, Instance, InstanceName, UpstreamState, ZoneName};

use super::super::FleetCommand;
use super::{Controller, Step, names};

impl Controller {
    pub(super) fn detect(&mut self, step: &mut Step<'_>) {
        let fleet = step.fleet;
        // Both are in order: walking them side by side saves a search for each
        // instance.
        let mut heard = step.observed.instances.iter().peekable();
        for (name, instance) in fleet.instances() {
            while heard.next_if(|(other, _)| *other < name).is_some() {}
            let seen = heard.next_if(|(other, _)| *other == name);
            if matches!(instance.duty, DesiredState::Away { .. }) {
                continue;
            }
            let failed = fleet.is_failed(name);
            let seen = seen.map(|(_, seen)| seen);
            let change = self
                .detector
                .judge(step.now_ms, &self.settings, name, failed, seen);
            if let Some(failed) = change {
                let instance = name.clone();
                self.propose(step, name, FleetCommand::Health { instance, failed });
            }
        }
    }

    pub(super) fn repair(&mut self, step: &mut Step<'_>) {
        if step.fleet.failed().is_empty() {
            return;
        }
        let cut_off = cut_off_zones(step);
        let mut running = self.repairs_running(step);
        for name in names(step.fleet.failed()) {
            let Some(instance) = step.fleet.instances().get(&name) else {
                continue;
            };
            if instance.duty != DesiredState::Serving {
                continue;
            }
            if is_leaving(step, &name) {
                self.let_leave(step, &name);
                continue;
            }
            let early = step.since_ms(&name) < self.settings.repair_after_ms;
            if early || cut_off.contains(&&instance.zone) {
                continue;
            }
            if self.give_up(step, instance) {
                continue;
            }
            if running < self.settings.repairs_at_once && self.start_repair(step, &name) {
                running += 1;
            }
        }
    }

    fn repairs_running(&self, step: &Step<'_>) -> u32 {
        let absence = Absence::Repair;
        let repair = DesiredState::Away { absence };
        let absent = step.fleet.absent().iter();
        let absent = absent.filter_map(|name| step.fleet.instances().get(name));
        let count = absent.filter(|instance| instance.duty == repair).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn start_repair(&mut self, step: &mut Step<'_>, name: &InstanceName) -> bool {
        let incarnation = step.seen(name).map_or(0, |s| s.report.incarnation);
        let command = FleetCommand::RepairStart {
            instance: name.clone(),
            incarnation,
        };
        self.propose(step, name, command)
    }

    /// Sets aside an instance that failed again and again after its repairs: it
    /// would take a share of requests with it each time.
    fn give_up(&mut self, step: &mut Step<'_>, instance: &Instance) -> bool {
        let name = &instance.name;
        let window_ms = self.settings.repair_window_ms;
        let since = step.observed.unix_ms.saturating_sub(window_ms);
        let repairs = step
            .fleet
            .record(name)
            .map_or(0, |r| r.repairs_since(since));
        let max = usize::try_from(self.settings.repairs_max).unwrap_or(usize::MAX);
        if repairs < max {
            return false;
        }
        let hours = window_ms / 3_600_000;
        let reason = format!("it failed again after {repairs} repairs within {hours} h");
        let instance = name.clone();
        self.propose(step, name, FleetCommand::SetAside { instance, reason });
        true
    }

    /// Forgets an upstream that leaves once nothing runs on it, or it is silent.
    /// Until then it is not repaired: a restart would cut off what it finishes.
    pub(super) fn let_leave(&mut self, step: &mut Step<'_>, name: &InstanceName) {
        let fresh_ms = self.settings.failed_after_ms;
        let busy = step
            .seen(name)
            .is_some_and(|seen| seen.is_fresh(step.now_ms, fresh_ms) && seen.report.running > 0);
        if !busy {
            self.detector.forget(name);
            let instance = name.clone();
            self.propose(step, name, FleetCommand::Leave { instance });
        }
    }
}

/// Whether an upstream last said that it leaves for good.
pub(super) fn is_leaving(step: &Step<'_>, name: &InstanceName) -> bool {
    let standing = step.seen(name).map(|seen| seen.report.standing);
    standing == Some(UpstreamState::Leaving)
}

/// Zones of which more than half the instances failed. They are rather cut off
/// than broken: rebooting them would stop a zone that goes on serving by itself.
fn cut_off_zones<'a>(step: &Step<'a>) -> Vec<&'a ZoneName> {
    let mut zones: BTreeMap<&ZoneName, (usize, usize)> = BTreeMap::new();
    for (name, instance) in step.fleet.instances() {
        // Those out by decision say nothing of the zone: counted in, a few set
        // aside and a few lost together would stop all repair for good.
        if matches!(instance.duty, DesiredState::Away { .. }) {
            continue;
        }
        let (all, failed) = zones.entry(&instance.zone).or_default();
        *all += 1;
        *failed += usize::from(step.fleet.is_failed(name));
    }
    let cut_off = |(_, (all, failed)): &(&ZoneName, (usize, usize))| failed * 2 > *all;
    zones
        .into_iter()
        .filter(cut_off)
        .map(|(zone, _)| zone)
        .collect()
}
