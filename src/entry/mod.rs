//! An entry instance: what it decides with what it has heard ([`Node`]) and the
//! driver that feeds it from the edges.
//!
//! [`Node`] is a plain object: every [`Event`] goes in with the present time and
//! every [`Effect`] that comes out is carried out by the driver, in order. It
//! joins the load decisions, the replicated log and the replicated state; it
//! holds no clock, socket, thread or file, so that a whole entry instance can be
//! run without a network.

mod call;
mod directory;
mod driver;
mod effect;
mod event;
mod node;
mod operator;
mod peer;
mod proposals;

pub use call::{Call, CallAnswer, CallId};
pub use directory::Directory;
pub use driver::{Driver, DriverError, Listeners};
pub use effect::{Effect, Sending};
pub use event::{AttemptEnd, Event};
pub use node::{Node, NodeSettings};
pub use operator::{OperatorAnswer, OperatorId, OperatorRequest};
pub use peer::{Gossip, PeerFrame, PeerMessage};
