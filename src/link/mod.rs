//! Links between entry instances: one h2 stream each way, frames in bincode.
//!
//! A link carries one direction. The sender connects, asks for a stream and is
//! given a nonce; every frame then carries a MAC over that nonce, its place in
//! the stream, the sender and the receiver, so that a frame cannot be forged,
//! replayed, left out or sent on to another. The MAC is checked before anything
//! is decoded, and frames are bounded in size.
//!
//! A link may lose frames: when its queue is full, when the connection ends, and
//! when a PING is not answered in time. What needs more asks again.

mod error;
mod frame;
mod peer_key;
mod receiver;
mod runtime;
mod sender;

pub use error::LinkError;
pub use peer_key::PeerKey;
pub use runtime::{Directory, Links, LinksConfig};
