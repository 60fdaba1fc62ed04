use serde::{Deserialize, Serialize};

use crate::model::{InstanceName, PoolName, ServiceName, WaveName};

use super::BudgetUse;

/// Why a change of the fleet was refused; nothing was changed.
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
    /// The pool's budget would be broken; the use is the one after the change.
    #[display("{after}")]
    Budget {
        /// The arithmetic as it would be after the change.
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
        /// Its instances.
        members: u32,
    },
    /// The instance is not in the state that the change needs.
    #[display("instance {instance} is {duty}: {remedy}")]
    WrongDuty {
        /// The instance.
        instance: InstanceName,
        /// What it is doing.
        duty: String,
        /// What to do.
        remedy: String,
    },
    /// The change was meant for another epoch of the instance.
    #[display("instance {instance} is under epoch {present}, not {given}")]
    Epoch {
        /// The instance.
        instance: InstanceName,
        /// Its epoch.
        present: u64,
        /// The epoch of the change.
        given: u64,
    },
    /// The instance that came back is the one that left.
    #[display("instance {instance} has not restarted: incarnation {given} left as {left}")]
    NotRestarted {
        /// The instance.
        instance: InstanceName,
        /// The incarnation that left.
        left: u64,
        /// The incarnation of the change.
        given: u64,
    },
    /// It is in that pool already.
    #[display("instance {instance} is in pool {pool} already")]
    SamePool {
        /// The instance.
        instance: InstanceName,
        /// The pool.
        pool: PoolName,
    },
    /// The wave is paused, over, or does not hold the instance.
    #[display("wave {wave}: {why}")]
    Wave {
        /// The wave.
        wave: WaveName,
        /// Why, in words.
        why: String,
    },
}
