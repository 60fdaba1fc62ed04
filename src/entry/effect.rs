use std::sync::Arc;

use crate::load::{AttemptId, RequestId};
use crate::model::{Class, EntryName, InstanceName, PoolName, RequestKey, ServiceName};

use super::{CallAnswer, CallId, Health, OperatorAnswer, OperatorId, PeerFrame};
use crate::consensus::Record;
use crate::upstream_api::AnnounceReply;

/// An output of the [`Node`](super::Node), carried out by the
/// [`Driver`](super::Driver).
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer a call.
    AnswerCall {
        /// The call.
        id: CallId,
        /// The answer.
        answer: CallAnswer,
    },
    /// Answer an upstream's announcement.
    AnswerAnnounce {
        /// From [`super::Event::Announced`].
        id: CallId,
        /// The answer.
        reply: AnnounceReply,
    },
    /// Answer an operator.
    AnswerOperator {
        /// From [`super::Event::Operator`].
        id: OperatorId,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// Send an attempt to an upstream.
    Send(Sending),
    /// Ask an upstream to stop an attempt and return a checkpoint of it.
    Checkpoint {
        /// Address at which the upstream takes requests, `IP:port`.
        address: String,
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send a frame to a peer; it may be lost.
    Peer {
        /// The peer.
        to: EntryName,
        /// The frame.
        frame: PeerFrame,
    },
    /// Write to the data folder, sync, then report completion.
    Persist {
        /// Returned in [`super::Event::Persisted`].
        token: u64,
        /// What to write.
        records: Vec<Record>,
    },
    /// Publish the health of this entry instance for the balancer.
    Health(Health),
    /// Accept no more connections from callers.
    CloseCallers,
    /// The planned stop is complete: nothing is in flight any more, or the grace period
    /// is over.
    Stopped,
}

/// An attempt as it is sent to an upstream.
#[derive(Clone, Debug)]
pub struct Sending {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The instance.
    pub instance: InstanceName,
    /// Address at which the upstream takes requests, `IP:port`.
    pub address: String,
    /// The incarnation the attempt is meant for; any other refuses it.
    pub incarnation: u64,
    /// The service.
    pub service: ServiceName,
    /// The pool in which the request may run.
    pub pool: PoolName,
    /// The pool epoch in which the request may run.
    pub pool_epoch: u64,
    /// The class.
    pub class: Class,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The caller's key.
    pub key: Option<RequestKey>,
    /// The fencing token of a patient job's attempt.
    pub fence: Option<u64>,
    /// The checkpoint from which a patient job's attempt resumes.
    pub checkpoint: Option<Vec<u8>>,
    /// Longest time to the complete answer, in milliseconds.
    pub timeout_ms: u64,
    /// The caller's body.
    pub body: Arc<[u8]>,
}
