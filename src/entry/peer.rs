use serde::{Deserialize, Serialize};

use crate::consensus::Message;
use crate::model::{InstanceName, UpstreamReport};

/// A batch of messages from one entry instance to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The sender's incarnation; a different one means that it restarted.
    pub incarnation: u64,
    /// When it was sent, on the sender's clock.
    pub sent_ms: u64,
    /// The newest `sent_ms` the sender has received from the receiver. The frame was
    /// sent after that time on the receiver's own clock, so a frame that was buffered
    /// for long cannot pass for a recent one.
    pub echo_ms: Option<u64>,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// A message between entry instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the replicated log.
    Log(Message),
    /// Reports of upstreams and the load.
    Gossip(Gossip),
    /// The operator's change that the receiver proposed, at this index of the log, is
    /// in force at the sender.
    InForce {
        /// Index in the replicated log.
        index: u64,
    },
}

/// Reports that an entry instance received directly from upstreams, and its own load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Reports received directly, each with its age in milliseconds when sent.
    pub reports: Vec<(UpstreamReport, u64)>,
    /// Attempts in flight from the sender, by instance; moves and waves wait until
    /// these have ended.
    pub in_flight: Vec<(InstanceName, u32)>,
    /// Requests of the sender by instance, as its dispatcher counts them: those in
    /// flight, and one more where one was refused lately because all slots were taken.
    pub claimed: Vec<(InstanceName, u32)>,
    /// The highest index of the replicated log the sender has applied.
    pub applied_index: u64,
    /// Whether the sender is stopping.
    pub stopping: bool,
}
