use serde::{Deserialize, Serialize};

/// Role of a peer on a link, which decides its priority in [`Admission`](super::Admission).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum PeerClass {
    /// Stores the replicated log. Without links between replicas there is no leader.
    #[display("replica")]
    Replica,
    /// Only sends requests. Answers come back on the link that it opened.
    #[display("client")]
    Client,
}
