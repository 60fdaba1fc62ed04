//! Pools, their instances and the instances' health.

use crate::model::{
    Budget, DesiredState, FailureDomain, Instance, InstanceName, Pool, PoolName, RackName, ZoneName,
};

use super::{Fleet, FleetRefusal};

impl Fleet {
    pub(super) fn put_pool(&mut self, at_unix_ms: u64, pool: &Pool) -> Result<(), FleetRefusal> {
        for service in &pool.services {
            let carrier = self.carriers.get(&service.name);
            if let Some(other) = carrier.filter(|other| **other != pool.name) {
                return Err(FleetRefusal::ServiceElsewhere {
                    service: service.name.clone(),
                    pool: other.clone(),
                });
            }
        }
        self.check_budget(pool)?;
        self.carriers.retain(|_, carrier| *carrier != pool.name);
        for service in &pool.services {
            self.carriers
                .insert(service.name.clone(), pool.name.clone());
        }
        self.pools.insert(pool.name.clone(), pool.clone());
        self.tallies.entry(pool.name.clone()).or_default();
        let Budget {
            min_available,
            survive,
        } = pool.budget;
        let note = format!("budget set: {min_available} available, survives {survive}");
        self.note_pool(at_unix_ms, &pool.name, &note);
        self.update_broken(at_unix_ms, &pool.name);
        Ok(())
    }

    /// Refuses a budget that the serving instances do not meet, such as 80 typed for
    /// 8: it would be broken at once and pause every wave. A looser budget than the
    /// current one is accepted even if it does not hold yet.
    fn check_budget(&self, pool: &Pool) -> Result<(), FleetRefusal> {
        let Some(tally) = self.tallies.get(&pool.name) else {
            return Ok(());
        };
        let after = tally.budget_use(pool);
        let looser = self.pools.get(&pool.name).is_some_and(|old| {
            strictness(pool.budget.survive) <= strictness(old.budget.survive)
                && pool.budget.min_available <= old.budget.min_available
        });
        if after.members == 0 || looser || after.is_whole() {
            return Ok(());
        }
        Err(FleetRefusal::Budget { after })
    }

    pub(super) fn remove_pool(&mut self, name: &PoolName) -> Result<(), FleetRefusal> {
        self.pool(name)?;
        let members = self.budget_use(name).map_or(0, |used| used.members);
        let has_incoming = self.absent.iter().any(|i| self.moving_to(i) == Some(name));
        let has_lent = self.loans.values().any(|home| home == name);
        if members > 0 || has_incoming || has_lent {
            let pool = name.clone();
            return Err(FleetRefusal::PoolInUse { pool, members });
        }
        self.pools.remove(name);
        self.tallies.remove(name);
        self.pool_trails.remove(name);
        self.broken.remove(name);
        self.carriers.retain(|_, carrier| carrier != name);
        Ok(())
    }

    pub(super) fn join(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        zone: &ZoneName,
        rack: &RackName,
        pool: &PoolName,
    ) -> Result<(), FleetRefusal> {
        self.pool(pool)?;
        if self.instances.contains_key(name) {
            return Ok(());
        }
        let instance = Instance {
            name: name.clone(),
            zone: zone.clone(),
            rack: rack.clone(),
            pool: pool.clone(),
            epoch: 1,
            duty: DesiredState::Serving,
        };
        let tally = self.tallies.entry(pool.clone()).or_default();
        tally.add(&instance, false);
        self.instances.insert(name.clone(), instance);
        let record = self.records.entry(name.clone()).or_default();
        record.since_unix_ms = at_unix_ms;
        record.trail.note(at_unix_ms, format!("joined pool {pool}"));
        self.update_broken(at_unix_ms, pool);
        Ok(())
    }

    pub(super) fn leave(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
    ) -> Result<(), FleetRefusal> {
        let instance = self.instance(name)?.clone();
        let failed = self.failed.remove(name);
        if let Some(tally) = self.tallies.get_mut(&instance.pool) {
            tally.remove(&instance, failed);
        }
        self.instances.remove(name);
        self.absent.remove(name);
        self.loans.remove(name);
        self.records.remove(name);
        self.drop_from_waves(at_unix_ms, name, &instance.pool, "it left for good");
        self.note_pool(at_unix_ms, &instance.pool, &format!("{name} left for good"));
        self.update_broken(at_unix_ms, &instance.pool);
        Ok(())
    }

    pub(super) fn health(
        &mut self,
        at_unix_ms: u64,
        name: &InstanceName,
        failed: bool,
    ) -> Result<(), FleetRefusal> {
        let pool = self.instance(name)?.pool.clone();
        if self.is_failed(name) == failed {
            return Ok(());
        }
        if let (Some(tally), Some(instance)) =
            (self.tallies.get_mut(&pool), self.instances.get(name))
        {
            tally.remove(instance, !failed);
            tally.add(instance, failed);
        }
        if failed {
            self.failed.insert(name.clone());
        } else {
            self.failed.remove(name);
        }
        let text = if failed { "failed" } else { "is back" };
        let record = self.records.entry(name.clone()).or_default();
        record.revision += 1;
        if matches!(self.instances.get(name), Some(i) if i.duty == DesiredState::Serving) {
            record.since_unix_ms = at_unix_ms;
        }
        self.note_instance(at_unix_ms, name, text);
        self.update_broken(at_unix_ms, &pool);
        Ok(())
    }
}

fn strictness(survive: FailureDomain) -> u8 {
    match survive {
        FailureDomain::None => 0,
        FailureDomain::Instance => 1,
        FailureDomain::Rack => 2,
    }
}
