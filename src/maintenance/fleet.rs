use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{DesiredState, Instance, InstanceName, Pool, PoolName, ServiceName, WaveName};

use super::{BudgetUse, FleetCommand, FleetRefusal, Record, Tally, Trail, Wave};

mod absences;
mod membership;
mod moves;
mod waves;

/// Replicated state of pools, instances, moves and waves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    pools: BTreeMap<PoolName, Pool>,
    instances: BTreeMap<InstanceName, Instance>,
    failed: BTreeSet<InstanceName>,
    carriers: BTreeMap<ServiceName, PoolName>,
    tallies: BTreeMap<PoolName, Tally>,
    /// Instances with another duty than to serve.
    absent: BTreeSet<InstanceName>,
    /// Lent instances, each with the pool it returns to.
    loans: BTreeMap<InstanceName, PoolName>,
    waves: BTreeMap<WaveName, Wave>,
    /// Pools whose budget does not hold.
    broken: BTreeSet<PoolName>,
    records: BTreeMap<InstanceName, Record>,
    pool_trails: BTreeMap<PoolName, Trail>,
}

impl Fleet {
    /// Applies one command. This is deterministic: the same commands lead to the same
    /// fleet on every process.
    ///
    /// # Errors
    /// Returns the reason if the command is refused; the fleet is then unchanged.
    pub fn apply(&mut self, at_unix_ms: u64, command: &FleetCommand) -> Result<(), FleetRefusal> {
        match command {
            FleetCommand::PutPool { pool } => self.put_pool(at_unix_ms, pool),
            FleetCommand::RemovePool { pool } => self.remove_pool(pool),
            FleetCommand::Join {
                instance,
                zone,
                rack,
                pool,
            } => self.join(at_unix_ms, instance, zone, rack, pool),
            FleetCommand::Leave { instance } => self.leave(at_unix_ms, instance),
            FleetCommand::Health { instance, failed } => self.health(at_unix_ms, instance, *failed),
            FleetCommand::Drain { instance } => self.drain(at_unix_ms, instance),
            FleetCommand::Undrain { instance } => self.undrain(at_unix_ms, instance),
            FleetCommand::StartMove { instance, to } => self.start_move(at_unix_ms, instance, to),
            FleetCommand::Lend {
                instance,
                to,
                reason,
            } => self.lend(at_unix_ms, instance, to, reason),
            FleetCommand::FinishMove { instance, epoch } => {
                self.finish_move(at_unix_ms, instance, *epoch)
            }
            FleetCommand::AbortMove { instance, reason } => {
                self.abort_move(at_unix_ms, instance, reason)
            }
            FleetCommand::StartWave { spec } => self.start_wave(at_unix_ms, spec),
            FleetCommand::StopWave { wave } => self.stop_wave(at_unix_ms, wave),
            FleetCommand::BeginAbsence { wave, instance } => {
                self.begin_absence(at_unix_ms, wave, instance)
            }
            FleetCommand::PutOff { instance, reason } => self.put_off(at_unix_ms, instance, reason),
            FleetCommand::MarkAway {
                instance,
                epoch,
                incarnation,
            } => self.mark_away(at_unix_ms, instance, *epoch, *incarnation),
            FleetCommand::RepairStart {
                instance,
                incarnation,
            } => self.repair_start(at_unix_ms, instance, *incarnation),
            FleetCommand::Return {
                instance,
                incarnation,
            } => self.return_instance(at_unix_ms, instance, *incarnation),
            FleetCommand::SetAside { instance, reason } => {
                self.set_aside(at_unix_ms, instance, reason)
            }
            FleetCommand::Restore { instance } => self.restore(at_unix_ms, instance),
        }
    }

    /// Pools by name.
    pub fn pools(&self) -> &BTreeMap<PoolName, Pool> {
        &self.pools
    }

    /// Instances by name.
    pub fn instances(&self) -> &BTreeMap<InstanceName, Instance> {
        &self.instances
    }

    /// Whether the instance counts as failed.
    pub fn is_failed(&self, instance: &InstanceName) -> bool {
        self.failed.contains(instance)
    }

    /// Instances that count as failed.
    pub fn failed(&self) -> &BTreeSet<InstanceName> {
        &self.failed
    }

    /// Instances with another duty than to serve.
    pub fn absent(&self) -> &BTreeSet<InstanceName> {
        &self.absent
    }

    /// Lent instances, each with the pool it returns to.
    pub fn loans(&self) -> &BTreeMap<InstanceName, PoolName> {
        &self.loans
    }

    /// Pools whose budget does not hold.
    pub fn broken(&self) -> &BTreeSet<PoolName> {
        &self.broken
    }

    /// Waves by name, including the most recently ended ones.
    pub fn waves(&self) -> &BTreeMap<WaveName, Wave> {
        &self.waves
    }

    /// The pool that carries a service.
    pub fn carrier(&self, service: &ServiceName) -> Option<&Pool> {
        self.pools.get(self.carriers.get(service)?)
    }

    /// The pool that carries each service.
    pub fn carriers(&self) -> &BTreeMap<ServiceName, PoolName> {
        &self.carriers
    }

    /// The use of a pool's budget.
    pub fn budget_use(&self, pool: &PoolName) -> Option<BudgetUse> {
        Some(self.tallies.get(pool)?.budget_use(self.pools.get(pool)?))
    }

    /// Counts of a pool's instances by what they do.
    pub fn tally(&self, pool: &PoolName) -> Option<&Tally> {
        self.tallies.get(pool)
    }

    /// The history of an instance.
    pub fn record(&self, instance: &InstanceName) -> Option<&Record> {
        self.records.get(instance)
    }

    /// The audit trail of an instance.
    pub fn explain_instance(&self, instance: &InstanceName) -> Option<&Trail> {
        self.records.get(instance).map(|record| &record.trail)
    }

    /// The audit trail of a pool.
    pub fn explain_pool(&self, pool: &PoolName) -> Option<&Trail> {
        self.pool_trails.get(pool)
    }

    /// The audit trail of a wave.
    pub fn explain_wave(&self, wave: &WaveName) -> Option<&Trail> {
        self.waves.get(wave).map(|wave| &wave.trail)
    }

    fn instance(&self, name: &InstanceName) -> Result<&Instance, FleetRefusal> {
        let found = self.instances.get(name);
        found.ok_or_else(|| FleetRefusal::UnknownInstance(name.clone()))
    }

    fn pool(&self, name: &PoolName) -> Result<&Pool, FleetRefusal> {
        let found = self.pools.get(name);
        found.ok_or_else(|| FleetRefusal::UnknownPool(name.clone()))
    }

    /// Refuses a voluntary absence for which the pool's budget has no room. An
    /// instance that is absent already uses no more of the budget.
    fn check_absence(&self, instance: &Instance) -> Result<(), FleetRefusal> {
        if instance.duty != DesiredState::Serving || self.is_failed(&instance.name) {
            return Ok(());
        }
        let pool = self.pool(&instance.pool)?;
        let Some(tally) = self.tallies.get(&instance.pool) else {
            return Ok(());
        };
        if tally.room().holds_without(&instance.rack, &pool.budget) {
            return Ok(());
        }
        let mut room = tally.room().clone();
        room.remove_serving(&instance.rack);
        let mut after = tally.budget_use(pool);
        after.serving = room.serving();
        after.worst_loss = room.worst_loss(pool.budget.survive);
        Err(FleetRefusal::Budget { after })
    }

    /// Changes an instance and updates the tallies. Every change of an instance goes
    /// through this function, so that the tallies always match.
    fn change(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        note: &str,
        f: impl FnOnce(&mut Instance),
    ) {
        let failed = self.failed.contains(name);
        let Some(instance) = self.instances.get_mut(name) else {
            return;
        };
        let old = instance.pool.clone();
        if let Some(tally) = self.tallies.get_mut(&old) {
            tally.remove(instance, failed);
        }
        f(instance);
        let new = instance.pool.clone();
        self.tallies
            .entry(new.clone())
            .or_default()
            .add(instance, failed);
        if instance.duty == DesiredState::Serving {
            self.absent.remove(name);
        } else {
            self.absent.insert(name.clone());
        }
        let record = self.records.entry(name.clone()).or_default();
        record.revision += 1;
        record.since_unix_ms = at_unix_ms;
        record.trail.note(at_unix_ms, note);
        self.update_broken(at_unix_ms, &old);
        if new != old {
            self.update_broken(at_unix_ms, &new);
        }
    }

    /// Makes an instance serve in `pool` under the next epoch. The epoch increases
    /// with each return to service, not only with a change of pool, so that a late
    /// report of an earlier drain cannot prove the stop of a later one.
    fn return_to_service(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        pool: &PoolName,
        note: &str,
    ) {
        self.change(at_unix_ms, name, note, |instance| {
            instance.pool = pool.clone();
            instance.epoch += 1;
            instance.duty = DesiredState::Serving;
        });
    }

    fn note_instance(&mut self, at_unix_ms: u64, name: &InstanceName, text: &str) {
        let record = self.records.entry(name.clone()).or_default();
        record.trail.note(at_unix_ms, text);
    }

    fn note_pool(&mut self, at_unix_ms: u64, name: &PoolName, text: &str) {
        let trail = self.pool_trails.entry(name.clone()).or_default();
        trail.note(at_unix_ms, text);
    }

    /// Updates whether a pool's budget is broken, and the waves that depend on it.
    fn update_broken(&mut self, at_unix_ms: u64, name: &PoolName) {
        let Some(used) = self.budget_use(name) else {
            self.broken.remove(name);
            return;
        };
        let changed = if used.is_whole() {
            self.broken.remove(name)
        } else {
            self.broken.insert(name.clone())
        };
        if changed {
            self.note_pool(at_unix_ms, name, &used.to_string());
        }
        if changed || !self.broken.is_empty() {
            self.update_wave_states(at_unix_ms);
        }
    }
}
