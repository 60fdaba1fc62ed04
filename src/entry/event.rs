use crate::load::{AttemptId, AttemptRefusal, RequestId};
use crate::model::{EntryName, UpstreamReport};

use super::{Call, CallId, OperatorId, OperatorRequest, PeerFrame};

/// Everything that can happen to an entry instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A call arrived.
    Call {
        /// Its id, given by the edge.
        id: CallId,
        /// The call.
        call: Call,
    },
    /// The caller went away before its answer.
    CallerGone {
        /// The call.
        id: CallId,
    },
    /// A caller asks what became of a patient job.
    JobQuery {
        /// Given by the edge.
        id: CallId,
        /// The job's id.
        job: String,
    },
    /// A caller wants a patient job no more.
    JobCancel {
        /// Given by the edge.
        id: CallId,
        /// The job's id.
        job: String,
    },
    /// An upstream announced itself; its answer goes out under the same id.
    Announced {
        /// Given by the edge.
        id: CallId,
        /// What it said.
        report: UpstreamReport,
    },
    /// An attempt on an upstream ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Time it took, in microseconds.
        run_us: u64,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A peer's frame, proved to be from that peer.
    Peer {
        /// The peer.
        from: EntryName,
        /// What it sent.
        frame: PeerFrame,
    },
    /// The disk finished the write with this token, synced.
    Persisted {
        /// The token.
        token: u64,
    },
    /// An operator asks for or changes something.
    Operator {
        /// Given by the edge.
        id: OperatorId,
        /// What is asked.
        request: OperatorRequest,
    },
    /// A planned stop: take nothing new, finish what is in flight.
    Stop,
}

/// How an attempt on an upstream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// The whole body.
        body: Vec<u8>,
    },
    /// It was stopped on request; the next attempt may go on from here.
    Checkpoint {
        /// What the upstream handed out.
        data: Vec<u8>,
    },
    /// It certainly did not run.
    Refused(AttemptRefusal),
    /// Bytes may have reached the upstream and no whole answer came.
    Lost,
}
