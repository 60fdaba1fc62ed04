//! Links between instances: HTTP/2 streams that carry frames encoded with bincode.
//!
//! A replica's link is unidirectional; a client's link also carries the answers back.
//! The sender connects, opens a stream and receives a nonce. Every frame then carries a
//! MAC over that nonce, its sequence number in the stream, the sender and the receiver, so
//! that a frame cannot be forged, replayed, omitted or forwarded to another instance. The
//! MAC is verified before anything is decoded, and the size of a frame is bounded. The
//! first frame states the sender's [`PeerClass`]; [`Admission`] then decides whether the
//! link is kept.
//!
//! Delivery is best effort. Frames are lost when a queue is full, when the connection ends
//! and when a PING is not answered in time. Protocols that need delivery have to retry.

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
