//! Moves between pools. An instance stays in its old pool until the move finishes,
//! so that it is in exactly one pool at any time.

use crate::model::{Absence, DesiredState, Instance, InstanceName, PoolName};

use super::absences::wrong_duty;
use super::{Fleet, FleetRefusal};

impl Fleet {
    /// The target pool of an instance's move, if it moves.
    pub fn moving_to(&self, name: &InstanceName) -> Option<&PoolName> {
        move_target(&self.instances.get(name)?.duty)
    }

    pub(super) fn start_move(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        to: &PoolName,
    ) -> Result<(), FleetRefusal> {
        self.check_move(name, to)?;
        // An operator's move of a lent instance ends its loan.
        self.loans.remove(name);
        self.drain_to(at_unix_ms, name, to, "move");
        Ok(())
    }

    pub(super) fn lend(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        to: &PoolName,
        reason: &str,
    ) -> Result<(), FleetRefusal> {
        let home = self.check_move(name, to)?.pool.clone();
        self.loans.entry(name.clone()).or_insert(home);
        self.drain_to(at_unix_ms, name, to, reason);
        Ok(())
    }

    pub(super) fn finish_move(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        epoch: u64,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        let Some(to) = move_target(&instance.duty).cloned() else {
            return Err(wrong_duty(instance, "start a move first"));
        };
        if instance.epoch != epoch {
            return Err(FleetRefusal::Epoch {
                instance: name.clone(),
                present: instance.epoch,
                given: epoch,
            });
        }
        self.pool(&to)?;
        let from = instance.pool.clone();
        self.return_to_service(at_unix_ms, name, &to, &format!("moved from {from} to {to}"));
        if self.loans.get(name) == Some(&to) {
            self.loans.remove(name);
        }
        self.move_in_waves(name, &from, &to);
        self.update_wave_states(at_unix_ms);
        Ok(())
    }

    pub(super) fn abort_move(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        reason: &str,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?;
        if move_target(&instance.duty).is_none() {
            return Err(wrong_duty(instance, "it does not move"));
        }
        let pool = instance.pool.clone();
        if self.loans.get(name) == Some(&pool) {
            self.loans.remove(name);
        }
        self.return_to_service(at_unix_ms, name, &pool, &format!("move undone: {reason}"));
        Ok(())
    }

    fn check_move(&self, name: &InstanceName, to: &PoolName) -> Result<&Instance, FleetRefusal> {
        let instance = self.instance(name)?;
        self.pool(to)?;
        if instance.pool == *to {
            return Err(FleetRefusal::SamePool {
                instance: name.clone(),
                pool: to.clone(),
            });
        }
        self.check_serves(instance)?;
        self.check_absence(instance)?;
        Ok(instance)
    }

    fn drain_to(&mut self, at_unix_ms: u64, name: &InstanceName, to: &PoolName, reason: &str) {
        let absence = Absence::Move { to: to.clone() };
        let note = format!("drains to move to {to}: {reason}");
        self.change(at_unix_ms, name, &note, |instance| {
            instance.duty = DesiredState::Draining { absence };
        });
    }
}

/// The target pool of a move, if the duty is one.
pub(super) fn move_target(duty: &DesiredState) -> Option<&PoolName> {
    match duty {
        DesiredState::Draining {
            absence: Absence::Move { to },
        } => Some(to),
        DesiredState::Serving | DesiredState::Draining { .. } | DesiredState::Away { .. } => None,
    }
}
