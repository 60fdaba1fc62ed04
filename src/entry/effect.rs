use std::sync::Arc;

use crate::load::{AttemptId, RequestId};
use crate::model::{Class, EntryName, InstanceName, PoolName, RequestKey, ServiceName};

use super::{CallAnswer, CallId, Health, OperatorAnswer, OperatorId, PeerFrame};
use crate::consensus::Record;
use crate::upstream_api::AnnounceReply;

/// What an entry instance wants done.
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
    /// Ask an upstream to hand out a checkpoint of an attempt and stop it.
    Checkpoint {
        /// Where it takes requests, `IP:port`.
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
    /// Write to the data folder and sync, then say so.
    Persist {
        /// Comes back with [`super::Event::Persisted`].
        token: u64,
        /// What to write.
        records: Vec<Record>,
    },
    /// Tell the balancer how this entry instance is.
    Health(Health),
    /// Take no more connections from callers.
    CloseCallers,
    /// The planned stop is complete: nothing is in flight any more.
    Stopped,
}

/// One attempt as it goes to an upstream.
#[derive(Clone, Debug)]
pub struct Sending {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The instance.
    pub instance: InstanceName,
    /// Where it takes requests, `IP:port`.
    pub address: String,
    /// The incarnation meant; another one refuses it.
    pub incarnation: u64,
    /// The service.
    pub service: ServiceName,
    /// The pool under which it may run.
    pub pool: PoolName,
    /// The pool epoch under which it may run.
    pub pool_epoch: u64,
    /// The class.
    pub class: Class,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The caller's key.
    pub key: Option<RequestKey>,
    /// The fencing number of a patient job's attempt.
    pub fence: Option<u64>,
    /// The checkpoint from which a patient job's attempt goes on.
    pub checkpoint: Option<Vec<u8>>,
    /// Longest time to the whole answer, in milliseconds.
    pub timeout_ms: u64,
    /// The caller's body.
    pub body: Arc<[u8]>,
}
