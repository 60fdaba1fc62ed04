use serde::{Deserialize, Serialize};

use crate::consensus::Message;
use crate::model::{InstanceName, UpstreamReport};

/// What one entry instance sends another in one go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender's start; a peer that restarted begins anew.
    pub incarnation: u64,
    /// When it was sent, on the sender's clock.
    pub sent_ms: u64,
    /// The newest `sent_ms` the sender has from the receiver. The receiver knows
    /// by its own clock that the frame is no older than the time since then, so
    /// a frame that sat in a buffer for long cannot pass for a recent one.
    pub echo_ms: Option<u64>,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// What entry instances say to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Of the replicated log.
    Log(Message),
    /// Of upstreams and load.
    Gossip(Gossip),
    /// The receiver's operator change at this index is in force at the sender.
    InForce {
        /// The index.
        index: u64,
    },
}

/// What an entry instance has heard from upstreams itself, and its own load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Reports heard directly, each with its age in milliseconds when sent.
    pub reports: Vec<(UpstreamReport, u64)>,
    /// Attempts in flight from the sender, by instance: what a move or a wave
    /// waits for.
    pub in_flight: Vec<(InstanceName, u32)>,
    /// Slots the sender counts as its own, by instance.
    pub claimed: Vec<(InstanceName, u32)>,
    /// The highest index of the replicated log the sender has applied.
    pub applied_index: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
}
