use serde::{Deserialize, Serialize};

use crate::model::{InstanceName, PoolName};

/// A machine as its keeper lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Its name; stays through moves and upkeeps.
    pub name: String,
    /// The pool that it is in.
    pub pool: PoolName,
    /// What it does.
    pub phase: MachinePhase,
    /// The incarnation that runs on it, if one does.
    pub worker: Option<InstanceName>,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum MachinePhase {
    /// It is up, or off in a standby pool and ready to come.
    #[display("up")]
    Up,
    /// It moves to another pool.
    #[display("moving")]
    Moving,
    /// It is down for its upkeep.
    #[display("upkeep")]
    Upkeep,
    /// It is down.
    #[display("down")]
    Down,
}
