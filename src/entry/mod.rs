//! An entry instance: what it decides with what it has heard ([`Node`]) and the
//! driver that feeds it from the edges.
//!
//! [`Node`] is a plain object: every [`Event`] goes in with the present time and
//! every [`Effect`] that comes out is carried out by the driver, in order. It
//! joins the load decisions, the replicated log and the replicated state; it
//! holds no clock, socket, thread or file, so that a whole entry instance can be
//! run without a network.

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
