use crate::load::{AttemptId, AttemptRefusal, RequestId};
use crate::model::{EntryName, UpstreamReport};

use super::{Call, CallId, OperatorId, OperatorRequest, PeerFrame};

/// An input of the [`Node`](super::Node).
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic tick; the time is passed along with the event.
    Tick,
    /// A call arrived.
    Call {
        /// The call's id, assigned by the HTTP server.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// The caller disconnected before its answer.
    CallerGone {
        /// The call.
        id: CallId,
    },
    /// A caller queries the state of a patient job.
    JobQuery {
        /// Identifies the request to its HTTP server.
        id: CallId,
        /// The job's id.
        job: String,
    },
    /// A caller cancels a patient job.
    JobCancel {
        /// Identifies the request to its HTTP server.
        id: CallId,
        /// The job's id.
        job: String,
    },
    /// An upstream announced itself; the reply carries the same id.
    Announced {
        /// Identifies the request to its HTTP server.
        id: CallId,
        /// The upstream's report.
        report: UpstreamReport,
    },
    /// An attempt on an upstream ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Duration of the attempt, in microseconds.
        run_us: u64,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A frame from a peer whose identity the link has verified.
    Peer {
        /// The peer.
        from: EntryName,
        /// The frame.
        frame: PeerFrame,
    },
    /// The write with this token is synced to disk.
    Persisted {
        /// The token.
        token: u64,
    },
    /// A request of an operator.
    Operator {
        /// Identifies the request to its HTTP server.
        id: OperatorId,
        /// The request.
        request: OperatorRequest,
    },
    /// Start of a planned stop: accept nothing new, finish what is in flight.
    Stop,
}

/// How an attempt on an upstream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// The complete body.
        body: Vec<u8>,
    },
    /// The attempt was stopped on request; the next one may resume from this
    /// checkpoint.
    Checkpoint {
        /// The checkpoint, as the upstream returned it.
        data: Vec<u8>,
    },
    /// The request certainly did not run.
    Refused(AttemptRefusal),
    /// Bytes may have reached the upstream, and no complete answer came.
    Lost,
}
