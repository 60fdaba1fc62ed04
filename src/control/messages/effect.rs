use crate::consensus::Record;
use crate::control::{Answer, Decision, MachineOrder, Order, PeerMessage};
use crate::model::{EntryName, InstanceName};

/// An effect that a [`crate::control::Node`] requests from its driver.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a call that came in at this instance.
    Answer {
        /// The id of the call.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: EntryName,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Write records to the log on disk and sync them.
    Persist {
        /// Identifies the write in [`crate::control::Event::Persisted`].
        token: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Send an order to a worker.
    Order(Order),
    /// Send an order to the machine manager.
    OrderMachine(MachineOrder),
    /// Abort all orders to workers and the machine manager that have no answer yet.
    AbortOrders,
    /// Request the list of all machines from the machine manager.
    ListMachines,
    /// Ask the advisor which workers may run a step.
    Advise {
        /// The id of the request.
        id: u64,
        /// A task of the step, which identifies the job, the occurrence and the step.
        step: crate::jobs::TaskId,
        /// The workers to ask about.
        workers: Vec<InstanceName>,
        /// How long the answer is awaited.
        timeout_ms: u64,
    },
    /// Count a decision in the metrics.
    Count(Decision),
    /// The planned stop is complete.
    Stopped,
}
