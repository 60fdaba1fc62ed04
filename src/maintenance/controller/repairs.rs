//! Detects failures, and repairs failed instances without an operator.

use std::collections::BTreeMap;

use crate::model::{Absence, DesiredState, Instance, InstanceName, UpstreamState, ZoneName};

use super::super::FleetCommand;
use super::{Controller, Step, collect_names};

impl Controller {
    pub(super) fn detect(&mut self, step: &mut Step<'_>) {
        let fleet = step.fleet;
        // Both maps are sorted by name: a merge of the two saves a lookup per instance.
        let mut reports = step.observed.instances.iter().peekable();
        for (name, instance) in fleet.instances() {
            while reports.next_if(|(other, _)| *other < name).is_some() {}
            let seen = reports.next_if(|(other, _)| *other == name);
            if matches!(instance.duty, DesiredState::Away { .. }) {
                continue;
            }
            let failed = fleet.is_failed(name);
            let seen = seen.map(|(_, seen)| seen);
            let change =
                self.detector
                    .health_change(step.now_ms, &self.settings, name, failed, seen);
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
        let partitioned = partitioned_zones(step);
        let mut running = self.repairs_running(step);
        for name in collect_names(step.fleet.failed()) {
            let Some(instance) = step.fleet.instances().get(&name) else {
                continue;
            };
            if instance.duty != DesiredState::Serving {
                continue;
            }
            if is_leaving(step, &name) {
                self.remove_leaving(step, &name);
                continue;
            }
            let may_recover = step.since_ms(&name) < self.settings.repair_after_ms;
            if may_recover || partitioned.contains(&&instance.zone) {
                continue;
            }
            if self.set_aside_after_repairs(step, instance) {
                continue;
            }
            if running < self.settings.max_concurrent_repairs && self.start_repair(step, &name) {
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

    /// Sets aside an instance that failed again after its most recent repairs, since
    /// requests would be lost with each further failure. Returns whether the limit of
    /// repairs is reached.
    fn set_aside_after_repairs(&mut self, step: &mut Step<'_>, instance: &Instance) -> bool {
        let name = &instance.name;
        let window_ms = self.settings.repair_window_ms;
        let since = step.observed.unix_ms.saturating_sub(window_ms);
        let repairs = step
            .fleet
            .record(name)
            .map_or(0, |r| r.repairs_since(since));
        let max = usize::try_from(self.settings.max_repairs).unwrap_or(usize::MAX);
        if repairs < max {
            return false;
        }
        let hours = window_ms / 3_600_000;
        let reason = format!("it failed again after {repairs} repairs within {hours} h");
        let instance = name.clone();
        self.propose(step, name, FleetCommand::SetAside { instance, reason });
        true
    }

    /// Removes a leaving upstream once nothing runs on it or its reports stop. It is
    /// not repaired before, because a restart would abort its running requests.
    pub(super) fn remove_leaving(&mut self, step: &mut Step<'_>, name: &InstanceName) {
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

/// Whether the last report of an upstream says that it leaves for good.
pub(super) fn is_leaving(step: &Step<'_>, name: &InstanceName) -> bool {
    let standing = step.seen(name).map(|seen| seen.report.standing);
    standing == Some(UpstreamState::Leaving)
}

/// Zones in which more than half of the instances failed. A network partition is more
/// likely than that many failures, and rebooting the instances would stop a zone that
/// still serves its own callers.
fn partitioned_zones<'a>(step: &Step<'a>) -> Vec<&'a ZoneName> {
    let mut zones: BTreeMap<&ZoneName, (usize, usize)> = BTreeMap::new();
    for (name, instance) in step.fleet.instances() {
        // Instances that are away by decision say nothing about the zone. If they
        // counted, a few set aside and a few failed ones together would stop all
        // repairs in the zone permanently.
        if matches!(instance.duty, DesiredState::Away { .. }) {
            continue;
        }
        let (all, failed) = zones.entry(&instance.zone).or_default();
        *all += 1;
        *failed += usize::from(step.fleet.is_failed(name));
    }
    let partitioned = |(_, (all, failed)): &(&ZoneName, (usize, usize))| failed * 2 > *all;
    zones
        .into_iter()
        .filter(partitioned)
        .map(|(zone, _)| zone)
        .collect()
}
