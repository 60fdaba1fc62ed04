//! Accounts for what clients make a process hold.
//!
//! A client costs memory in many forms: the buffers of its connection, the bytes that have
//! arrived and are not read, its body while it arrives, what is decoded from it, the call that
//! waits for an answer, and an answer that is not read. Limits for each request alone bound
//! none of these in sum, so enough clients exhaust the memory of any process.
//!
//! Every listener of a process therefore takes from one [`Intake`]. A connection is a
//! [`Client`]; its place covers its buffers, its unread bytes and requests of ordinary size, so
//! that these are served whatever else is held. What a request holds beyond that is counted by
//! its [`Hold`], which goes where the request goes: into the queue of calls, and with a large
//! answer until that is sent. What does not fit is refused at once. Under a shortage the client
//! that has kept the process waiting for longest makes room.

mod client;
mod hold;
#[allow(clippy::module_inception)]
mod intake;

pub use client::Client;
pub use hold::{Hold, ORDINARY_REQUEST_BYTES};
pub use intake::{Intake, Shortage};
