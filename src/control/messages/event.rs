use crate::control::{Call, Machine, MachineOutcome, OrderOutcome, PeerMessage};
use crate::model::EntryName;

/// An event that a [`crate::control::Node`] handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A peer sent a message.
    Peer {
        /// The sender.
        from: EntryName,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// A write to the data folder is synced.
    Persisted {
        /// Identifies the write, from [`crate::control::Effect::Persist`].
        token: u64,
    },
    /// The disk has no room. Writes are persisted once it has some.
    DiskFull,
    /// A call came in at this instance.
    Call {
        /// The id that the answer repeats.
        id: u64,
        /// The call.
        call: Call,
    },
    /// The outcome of an order to a worker.
    Ordered {
        /// The id of the order.
        id: u64,
        /// The outcome.
        outcome: OrderOutcome,
    },
    /// The outcome of an order to the machine manager.
    MachineOrdered {
        /// The id of the order.
        id: u64,
        /// The outcome.
        outcome: MachineOutcome,
    },
    /// The machine manager's answer to a request for its list.
    MachinesListed {
        /// All machines, or `None` if it did not answer.
        machines: Option<Vec<Machine>>,
    },
    /// The advisor's answer about a step.
    Advised {
        /// The id of the request.
        id: u64,
        /// Each allowed worker with its ticket, or `None` if the advisor did not answer.
        allowed: Option<Vec<(crate::model::InstanceName, String)>>,
    },
    /// The settings name other control instances.
    Found {
        /// Their names.
        members: Vec<EntryName>,
    },
    /// A planned stop begins.
    Stop,
}
