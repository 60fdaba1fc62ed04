//! Forwarding of calls to the leader, whichever control instance that is.
//!
//! [`Gateway`] is the decision logic of an entry instance; [`Relay`] tracks the calls that
//! await an answer and is also used by control instances that do not lead. Both take the
//! present time and a message, and return what to send.

mod gateway;
mod relay;

pub use gateway::{Gateway, GatewayEffect};
pub use relay::{Relay, RelayAction};
