use super::{Call, Machine, MachineOutcome, OrderOutcome, PeerMessage};
use crate::model::EntryName;

/// Everything that can happen to a [`super::Node`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A peer sent something.
    Peer {
        /// Who.
        from: EntryName,
        /// What.
        message: Box<PeerMessage>,
    },
    /// A write to the data folder is synced.
    Persisted {
        /// Names the write.
        token: u64,
    },
    /// A call came in at this instance.
    Call {
        /// Names it in the answer.
        id: u64,
        /// The call.
        call: Call,
    },
    /// What came of an order to a worker.
    Ordered {
        /// From the order.
        id: u64,
        /// What came of it.
        outcome: OrderOutcome,
    },
    /// What came of an order to the platform.
    MachineOrdered {
        /// From the order.
        id: u64,
        /// What came of it.
        outcome: MachineOutcome,
    },
    /// The keeper's list of the machines, or none if it did not answer.
    MachinesListed {
        /// All machines.
        machines: Option<Vec<Machine>>,
    },
    /// The advisor's answer about a step: workers with their tickets, or none if
    /// it did not answer.
    Advised {
        /// From the question.
        id: u64,
        /// Each allowed worker with its ticket.
        allowed: Option<Vec<(crate::model::InstanceName, String)>>,
    },
    /// Other control instances are named in the settings.
    Found {
        /// Their names.
        members: Vec<EntryName>,
    },
    /// A planned stop begins.
    Stop,
}
