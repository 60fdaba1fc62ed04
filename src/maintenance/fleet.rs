use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{Duty, Instance, InstanceName, Pool, PoolName, ServiceName};

use super::{FleetCommand, FleetRefusal};

/// Pools and instances as every process agrees on them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    pools: BTreeMap<PoolName, Pool>,
    instances: BTreeMap<InstanceName, Instance>,
    failed: BTreeSet<InstanceName>,
}

impl Fleet {
    /// Applies one command; the same commands give the same fleet everywhere.
    ///
    /// # Errors
    /// The reason why the command was refused; the fleet is unchanged.
    pub fn apply(&mut self, _at_unix_ms: u64, command: &FleetCommand) -> Result<(), FleetRefusal> {
        match command {
            FleetCommand::PutPool { pool } => {
                self.pools.insert(pool.name.clone(), pool.clone());
            }
            FleetCommand::Join {
                instance,
                zone,
                rack,
                pool,
            } => {
                if !self.pools.contains_key(pool) {
                    return Err(FleetRefusal::UnknownPool(pool.clone()));
                }
                self.instances
                    .entry(instance.clone())
                    .or_insert_with(|| Instance {
                        name: instance.clone(),
                        zone: zone.clone(),
                        rack: rack.clone(),
                        pool: pool.clone(),
                        epoch: 1,
                        duty: Duty::Serving,
                    });
            }
            FleetCommand::Health { instance, failed } => {
                if !self.instances.contains_key(instance) {
                    return Err(FleetRefusal::UnknownInstance(instance.clone()));
                }
                if *failed {
                    self.failed.insert(instance.clone());
                } else {
                    self.failed.remove(instance);
                }
            }
        }
        Ok(())
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

    /// The pool that carries a service.
    pub fn carrier(&self, service: &ServiceName) -> Option<&Pool> {
        self.pools
            .values()
            .find(|pool| pool.services.iter().any(|s| s.name == *service))
    }
}
