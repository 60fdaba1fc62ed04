//! An entry instance: its state machine ([`Node`]) and the [`Driver`] that connects it
//! to network, clock and disk.
//!
//! [`Node`] does no input or output: each [`Event`] is passed in with the current time,
//! and the driver carries out the returned [`Effect`]s in order. It combines the load
//! dispatcher, the replicated log and the replicated state. As it holds no clock,
//! socket, thread or file, tests can run a whole entry instance without a network.

mod call;
mod counts;
mod directory;
mod driver;
mod effect;
mod event;
mod job_view;
mod node;
mod open;
mod operator;
mod peer;
mod peer_state;
mod proposals;
mod status;

pub use call::{Call, CallAnswer, CallId};
pub use counts::Counts;
pub use directory::{Directory, Known};
pub use driver::{Driver, DriverError, DriverSettings, Listeners, Stopper};
pub use effect::{Effect, Sending};
pub use event::{AttemptEnd, Event};
pub use job_view::JobView;
pub use node::{Node, NodeSettings};
pub use operator::{OperatorAnswer, OperatorId, OperatorRequest, Subject};
pub use peer::{Gossip, PeerFrame, PeerMessage};
pub use status::{EntryStatus, Health, PeerStatus, PoolStatus};
