//! The HTTP edges: callers, upstreams and operators come in through `hyper`,
//! requests go out to upstreams through `ureq`.
//!
//! Everything that comes in is bounded before it is read: connections, header
//! bytes, body bytes, and the time each may take. What all clients of a process hold
//! together is bounded by its [`Intake`](crate::intake::Intake).

mod callers;
mod client_stream;
mod health;
mod limits;
mod metrics;
mod operators;
mod outgoing;
mod receive;
mod reply;
mod server;
mod upstreams;
mod waiting;

pub use callers::Callers;
pub use health::HealthBoard;
pub use limits::Limits;
pub use operators::{OperatorKeys, Operators};
pub use outgoing::{Outgoing, OutgoingError};
pub use reply::{Reply, json, set, text, with_type};
pub use server::{Handler, HttpServer, Incoming, REFUSALS_MAX, handler, text_header};
pub use upstreams::Upstreams;
