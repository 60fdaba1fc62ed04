//! A TCP proxy that injects faults, for tests and trials.
//!
//! A [`Hub`] runs any number of [`Link`]s in one thread. Each link listens on a
//! port and passes connections on to one target; its faults change while it
//! runs. Memory is bounded: a direction holds a few chunks and then stops
//! reading, so that a sender sees full buffers as on a real path, and a link
//! takes no more than a fixed number of connections.
//!
//! One thing it cannot play: the kernel completes handshakes, so that under a
//! cut a connection still opens and then stays silent, where a real cut lets
//! the connect itself time out.

mod faults;
mod hub;
mod link;
mod pump;

pub use faults::{Accept, Flow, LinkFaults};
pub use hub::Hub;
pub use link::Link;
