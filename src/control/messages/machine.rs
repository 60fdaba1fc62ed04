use serde::{Deserialize, Serialize};

use crate::model::{InstanceName, PoolName, ZoneName};

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine, which moves and upkeeps do not change.
    pub name: String,
    /// The pool that it is in.
    pub pool: PoolName,
    /// Its present phase.
    pub phase: MachinePhase,
    /// Its availability zone, if the list names it.
    pub zone: Option<ZoneName>,
    /// The worker incarnation that runs on it, if any.
    pub worker: Option<InstanceName>,
}

/// Phase of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum MachinePhase {
    /// It is up or, in a standby pool, off and available.
    #[display("up")]
    Up,
    /// It is moving to another pool.
    #[display("moving")]
    Moving,
    /// It is down for its upkeep.
    #[display("upkeep")]
    Upkeep,
    /// It is down for another reason.
    #[display("down")]
    Down,
}
