//! The HTTP edges: callers, upstreams and operators come in through `hyper`,
//! requests go out to upstreams through `ureq`.
//!
//! Everything that comes in is bounded before it is read: connections, header
//! bytes, body bytes, and the time each may take.

mod callers;
mod limits;
mod operators;
mod outgoing;
mod reply;
mod server;
mod upstreams;

pub use callers::Callers;
pub use limits::Limits;
pub use operators::{OperatorKeys, Operators};
pub use outgoing::{Outgoing, OutgoingError};
pub use server::{Handler, HttpServer, Incoming};
pub use upstreams::Upstreams;
