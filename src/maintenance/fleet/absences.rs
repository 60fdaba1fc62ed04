//! Absences of single instances: drains, stops, repairs and returns.

use crate::model::{Absence, DesiredState, Instance, InstanceName};

use super::{Fleet, FleetRefusal};

impl Fleet {
    pub(super) fn drain(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        self.check_serves(instance)?;
        self.check_absence(instance)?;
        let absence = Absence::Operator;
        self.change(at_unix_ms, name, "drained by an operator", |instance| {
            instance.duty = DesiredState::Draining { absence };
        });
        Ok(())
    }

    pub(super) fn undrain(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        let absence = Absence::Operator;
        if instance.duty != (DesiredState::Draining { absence }) {
            return Err(wrong_duty(instance, "no operator drained it"));
        }
        let pool = instance.pool.clone();
        self.return_to_service(at_unix_ms, name, &pool, "undrained by an operator");
        Ok(())
    }

    pub(super) fn mark_away(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        epoch: u64,
        incarnation: u64,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        let absence = match &instance.duty {
            DesiredState::Draining {
                absence: absence @ (Absence::Reboot { .. } | Absence::Replace { .. }),
            } => absence.clone(),
            _ => return Err(wrong_duty(instance, "only a wave's drain ends in a stop")),
        };
        if instance.epoch != epoch {
            return Err(FleetRefusal::Epoch {
                instance: name.clone(),
                present: instance.epoch,
                given: epoch,
            });
        }
        self.change(
            at_unix_ms,
            name,
            "stopped: nothing runs on it",
            |instance| {
                instance.duty = DesiredState::Away { absence };
            },
        );
        self.record_left_incarnation(name, incarnation);
        Ok(())
    }

    pub(super) fn repair_start(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        incarnation: u64,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        if instance.duty != DesiredState::Serving || !self.is_failed(name) {
            return Err(wrong_duty(instance, "only a failed one is repaired"));
        }
        let absence = Absence::Repair;
        self.change(at_unix_ms, name, "repair started: it failed", |instance| {
            instance.duty = DesiredState::Away { absence };
        });
        self.record_left_incarnation(name, incarnation);
        if let Some(record) = self.records.get_mut(name) {
            record.record_repair(at_unix_ms);
        }
        Ok(())
    }

    pub(super) fn return_instance(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        incarnation: u64,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        let absence = match &instance.duty {
            DesiredState::Away {
                absence: Absence::Operator | Absence::SetAside { .. },
            } => return Err(wrong_duty(instance, "restore it first")),
            DesiredState::Away { absence } => absence.clone(),
            _ => return Err(wrong_duty(instance, "it was not away")),
        };
        let left = self.records.get(name).map_or(0, |r| r.left_incarnation);
        if incarnation <= left {
            return Err(FleetRefusal::NotRestarted {
                instance: name.clone(),
                left,
                given: incarnation,
            });
        }
        let pool = instance.pool.clone();
        self.health(at_unix_ms, name, false)?;
        self.return_to_service(at_unix_ms, name, &pool, "returned");
        self.record_return_in_waves(at_unix_ms, name, &pool, &absence);
        Ok(())
    }

    pub(super) fn set_aside(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        reason: &str,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        self.check_absence(instance)?;
        let pool = instance.pool.clone();
        let absence = Absence::SetAside {
            reason: reason.to_owned(),
        };
        let note = format!("set aside: {reason}");
        self.change(at_unix_ms, name, &note, |instance| {
            instance.duty = DesiredState::Away { absence };
        });
        self.note_pool(at_unix_ms, &pool, &format!("{name} set aside: {reason}"));
        self.drop_from_waves(at_unix_ms, name, &pool, reason);
        Ok(())
    }

    pub(super) fn restore(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        let is_set_aside = matches!(
            &instance.duty,
            DesiredState::Away {
                absence: Absence::SetAside { .. }
            }
        );
        if !is_set_aside {
            return Err(wrong_duty(instance, "it was not set aside"));
        }
        let pool = instance.pool.clone();
        self.return_to_service(at_unix_ms, name, &pool, "restored by an operator");
        if let Some(record) = self.records.get_mut(name) {
            record.repairs_unix_ms.clear();
        }
        Ok(())
    }

    /// Refuses to take out an instance that does not serve. Draining a failed instance
    /// would use no more of the budget, but would keep it from returning to a pool
    /// whose budget may be broken by its failure.
    pub(super) fn check_serves(&self, instance: &Instance) -> Result<(), FleetRefusal> {
        if instance.duty != DesiredState::Serving {
            return Err(wrong_duty(instance, "wait until it serves"));
        }
        if self.is_failed(&instance.name) {
            return Err(FleetRefusal::WrongDuty {
                instance: instance.name.clone(),
                duty: "failed".to_owned(),
                remedy: "repair works on it; or set it aside".to_owned(),
            });
        }
        Ok(())
    }

    /// Records the incarnation that left, never replacing it by an older one.
    fn record_left_incarnation(&mut self, name: &InstanceName, incarnation: u64) {
        if let Some(record) = self.records.get_mut(name) {
            record.left_incarnation = record.left_incarnation.max(incarnation);
        }
    }
}

/// Creates the refusal of a change that the instance's duty does not allow.
pub(super) fn wrong_duty(instance: &Instance, remedy: &str) -> FleetRefusal {
    let duty = match &instance.duty {
        DesiredState::Serving => "serving".to_owned(),
        DesiredState::Draining { absence } => format!("draining ({})", describe_absence(absence)),
        DesiredState::Away { absence } => format!("away ({})", describe_absence(absence)),
    };
    FleetRefusal::WrongDuty {
        instance: instance.name.clone(),
        duty,
        remedy: remedy.to_owned(),
    }
}

fn describe_absence(absence: &Absence) -> String {
    match absence {
        Absence::Operator => "by an operator".to_owned(),
        Absence::Reboot { wave } => format!("wave {wave} reboots it"),
        Absence::Replace { wave } => format!("wave {wave} replaces it"),
        Absence::Move { to } => format!("moves to {to}"),
        Absence::SetAside { reason } => format!("set aside: {reason}"),
        Absence::Repair => "in repair".to_owned(),
    }
}
