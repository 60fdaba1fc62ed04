use serde::{Deserialize, Serialize};

use crate::model::PoolName;

/// An order to the platform that keeps the machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineOrder {
    /// Names it in the outcome.
    pub id: u64,
    /// The leader's fencing token.
    pub fence: u64,
    /// The machine.
    pub machine: String,
    /// What to do with it.
    pub kind: MachineOrderKind,
}

/// What to do with a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineOrderKind {
    /// Begin its upkeep; all that runs on it ends.
    Upkeep {
        /// The number of the wave that it belongs to.
        wave: u64,
    },
    /// Move it to another pool; all that runs on it ends.
    Move {
        /// The pool.
        pool: PoolName,
    },
}

/// What came of an order to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum MachineOutcome {
    /// It is done, now or before.
    #[display("done")]
    Done,
    /// A higher fencing token was seen for the machine.
    #[display("fenced")]
    Fenced,
    /// The machine is not up, or leaves.
    #[display("busy")]
    Busy,
    /// There is no such machine, or it is not of that wave.
    #[display("no such machine")]
    NoSuchMachine,
    /// The platform takes no more calls now.
    #[display("overloaded")]
    Overloaded,
    /// Whether it was done is not known.
    #[display("unanswered")]
    Unanswered,
}
