use serde::{Deserialize, Serialize};

use crate::model::{InstanceName, PoolName, ServiceName, WaveName};

use super::BudgetUse;

/// Reason for refusing a command; the fleet is unchanged.
#[derive(
    Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display, derive_more::Error,
)]
pub enum FleetRefusal {
    /// No such pool.
    #[display("pool {_0} does not exist: create it first")]
    UnknownPool(#[error(not(source))] PoolName),
    /// No such instance.
    #[display("instance {_0} has never announced itself")]
    UnknownInstance(#[error(not(source))] InstanceName),
    /// No such wave.
    #[display("wave {_0} does not exist")]
    UnknownWave(#[error(not(source))] WaveName),
    /// The change would break the pool's budget.
    #[display("{after}")]
    Budget {
        /// The budget use after the change.
        after: BudgetUse,
    },
    /// Another pool carries the service.
    #[display("service {service} is carried by pool {pool}: remove it there first")]
    ServiceElsewhere {
        /// The service.
        service: ServiceName,
        /// The pool that carries it.
        pool: PoolName,
    },
    /// The pool still has instances.
    #[display("pool {pool} still has {members} instances: move them first")]
    PoolInUse {
        /// The pool.
        pool: PoolName,
        /// Number of its instances.
        members: u32,
    },
    /// The instance's current duty does not allow the change.
    #[display("instance {instance} is {duty}: {remedy}")]
    WrongDuty {
        /// The instance.
        instance: InstanceName,
        /// Its current duty, as text.
        duty: String,
        /// What to do about it.
        remedy: String,
    },
    /// The change names another epoch than the instance's current one.
    #[display("instance {instance} is under epoch {present}, not {given}")]
    Epoch {
        /// The instance.
        instance: InstanceName,
        /// Its current epoch.
        present: u64,
        /// The epoch named by the change.
        given: u64,
    },
    /// The instance reported the same incarnation as before it left, or an older one.
    #[display("instance {instance} has not restarted: incarnation {given} left as {left}")]
    NotRestarted {
        /// The instance.
        instance: InstanceName,
        /// The incarnation that left.
        left: u64,
        /// The incarnation named by the change.
        given: u64,
    },
    /// The instance is in that pool already.
    #[display("instance {instance} is in pool {pool} already")]
    SamePool {
        /// The instance.
        instance: InstanceName,
        /// The pool.
        pool: PoolName,
    },
    /// The wave is paused or has ended, or the instance is not pending in it.
    #[display("wave {wave}: {why}")]
    Wave {
        /// The wave.
        wave: WaveName,
        /// The reason, as text.
        why: String,
    },
}
