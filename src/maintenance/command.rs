use serde::{Deserialize, Serialize};

use crate::model::{InstanceName, Pool, PoolName, RackName, ZoneName};

/// A change of pools, instances or waves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Creates or replaces a pool. The services it lists must be in no other.
    PutPool {
        /// The pool.
        pool: Pool,
    },
    /// An upstream announced itself for the first time.
    Join {
        /// The instance.
        instance: InstanceName,
        /// Its availability zone.
        zone: ZoneName,
        /// Its rack.
        rack: RackName,
        /// The pool it was set up for.
        pool: PoolName,
    },
    /// The leader saw the instance fail (`true`) or return (`false`).
    Health {
        /// The instance.
        instance: InstanceName,
        /// Whether it counts as failed.
        failed: bool,
    },
}

/// Why a change of the fleet was refused; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum FleetRefusal {
    /// No such pool.
    #[display("pool {_0} does not exist: create it first")]
    UnknownPool(PoolName),
    /// No such instance.
    #[display("instance {_0} has never announced itself")]
    UnknownInstance(InstanceName),
}
