//! What is on its way in the world.

use rosemarygauge::consensus::Record;
use rosemarygauge::control::{Event, MachineOrder, Order, OrderOutcome, PeerMessage};
use rosemarygauge::model::EntryName;

pub(super) enum Flying {
    Peer {
        from: EntryName,
        to: EntryName,
        sent_ms: u64,
        message: Box<PeerMessage>,
    },
    Persisted {
        at: EntryName,
        start: u64,
        token: u64,
        records: Vec<Record>,
    },
    Order {
        from: EntryName,
        start: u64,
        order: Order,
    },
    Ordered {
        to: EntryName,
        start: u64,
        id: u64,
        outcome: OrderOutcome,
    },
    Machine {
        from: EntryName,
        start: u64,
        /// How often its sender had aborted its open orders by then.
        aborted: u64,
        order: MachineOrder,
    },
    Event {
        to: EntryName,
        start: u64,
        event: Event,
    },
}
