//! Runs the decisions in a process: the event loop, the calls of its listeners, metrics,
//! and the limits on connections. Nothing but adapters uses it.

mod call_bridge;
mod connection_budget;
mod driver;
mod loop_meter;
mod metrics;

pub use call_bridge::{CallBridge, Incoming, ListenerStatus};
pub use connection_budget::{ConnectionBudget, ConnectionPermits, Grant};
pub use driver::{Driver, ExternalSystems, Links, LocalFuture, Signal};
pub use loop_meter::{EventKind, LoopMeter};
pub use metrics::{Metrics, outcome};
