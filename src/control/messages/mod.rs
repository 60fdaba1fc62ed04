//! What goes in and out of an instance's decisions: calls and their answers, events and
//! effects, orders to workers and machines, and the messages between instances.
//!
//! Typed data without behaviour. Adapters build and encode it; the node and the gateway
//! handle and return it.

mod answer;
mod call;
mod decision;
mod effect;
mod event;
mod machine;
mod machine_order;
mod order;
mod peer_message;
mod presence;
mod quorum_status;

pub use answer::{Answer, Refusal};
pub use call::{Call, Place};
pub use decision::Decision;
pub use effect::Effect;
pub use event::Event;
pub use machine::{Machine, MachinePhase};
pub use machine_order::{MachineOrder, MachineOrderKind, MachineOutcome};
pub use order::{Ended, Order, OrderKind, OrderOutcome, Rejection, Running};
pub use peer_message::PeerMessage;
pub use presence::Presence;
pub use quorum_status::{QuorumStatus, VoterStatus};

pub(super) use call::job_from_path;
pub(super) use peer_message::batches;
