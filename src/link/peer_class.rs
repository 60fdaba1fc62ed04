use serde::{Deserialize, Serialize};

/// What a peer takes part in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum PeerClass {
    /// Keeps the log: without links among these nothing works.
    #[display("replica")]
    Replica,
    /// Only makes calls. Answers come back on the link that it opened.
    #[display("client")]
    Client,
}
