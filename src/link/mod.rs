//! Links between entry instances: h2 streams, frames in bincode.
//!
//! A replica's link carries one direction; on a client's link answers come back as well.
//! The sender connects, asks for a stream and is given a nonce; every frame then carries a
//! MAC over that nonce, its place in the stream, the sender and the receiver, so that a
//! frame cannot be forged, replayed, left out or sent on to another. The MAC is checked
//! before anything is decoded, and frames are bounded in size. The first frame tells what
//! the sender takes part in, and whether the link is kept is up to [`Admission`].
//!
//! A link may lose frames: when its queue is full, when the connection ends, and
//! when a PING is not answered in time. What needs more asks again.

mod admission;
mod error;
mod frame;
mod introduction;
mod limits;
mod outage;
mod peer_class;
mod peer_key;
mod queues;
mod receiver;
mod runtime;
mod sender;
mod stats;
mod stream;

pub use admission::{Admission, Refusal};
pub use error::LinkError;
pub use limits::LinkLimits;
pub use peer_class::PeerClass;
pub use peer_key::PeerKey;
pub use runtime::{Directory, Links, LinksConfig};
pub use stats::{LinkEvent, LinkStats};
