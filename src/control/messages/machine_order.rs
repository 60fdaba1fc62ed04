use serde::{Deserialize, Serialize};

use crate::model::PoolName;

/// An order to the platform that manages the machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineOrder {
    /// Identifies the order in its outcome.
    pub id: u64,
    /// The leader's fencing token.
    pub fence: u64,
    /// The machine.
    pub machine: String,
    /// The action.
    pub kind: MachineOrderKind,
}

/// The action that an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineOrderKind {
    /// Begin the machine's upkeep; all runs on it end.
    Upkeep {
        /// The number of the wave that it belongs to.
        wave: u64,
    },
    /// Move the machine to another pool; all runs on it end.
    Move {
        /// The destination pool.
        pool: PoolName,
    },
}

/// Outcome of an order to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum MachineOutcome {
    /// The order is carried out, now or by an earlier request.
    #[display("done")]
    Done,
    /// Refused: the platform has seen a higher fencing token for the machine.
    #[display("fenced")]
    Fenced,
    /// Refused: the machine is not up, or is leaving.
    #[display("busy")]
    Busy,
    /// The machine does not exist, or does not belong to that wave.
    #[display("no such machine")]
    NoSuchMachine,
    /// Refused: the platform is overloaded.
    #[display("overloaded")]
    Overloaded,
    /// There was no answer; the order may have been carried out.
    #[display("unanswered")]
    Unanswered,
}
