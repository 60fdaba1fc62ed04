use crate::model::{InstanceName, PoolName};

/// A move to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The machine.
    pub machine: String,
    /// The worker that the move ends; `None` if the machine is off.
    pub worker: Option<InstanceName>,
    /// The pool that it moves to.
    pub pool: PoolName,
}
