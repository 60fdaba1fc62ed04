use crate::model::{EntryName, InstanceName, UpstreamReport};

use super::{AttemptId, Request, RequestId, View};

/// An event that a dispatcher handles.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A request arrived. One that is not idempotent is offered after its claim was
    /// granted.
    Offer(Request),
    /// The caller disconnected or cancelled. A request that was not dispatched ends
    /// with `not-run`; otherwise the attempt continues and holds its slot until it
    /// ends.
    Cancel(RequestId),
    /// An attempt certainly did not run.
    Refused {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Cause of the refusal.
        refusal: AttemptRefusal,
    },
    /// A complete answer came.
    Finished {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// HTTP status of the answer; 500 and above is a failure of the upstream.
        status: u16,
        /// Time from dispatch to the whole answer, in microseconds.
        run_us: u64,
    },
    /// Bytes may have reached the upstream, and no complete answer came.
    Lost {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Time from dispatch to the loss, in microseconds.
        run_us: u64,
    },
    /// An upstream announced itself or refreshed its lease, directly or through a peer.
    Report {
        /// The report.
        report: &'a UpstreamReport,
        /// When the lease of the report ends, on the clock of `now_ms`.
        lease_until_ms: u64,
    },
    /// Rows, pools or instances changed in the replicated state.
    View(View),
    /// The requests that a peer entry instance has in flight.
    PeerLoad {
        /// The peer.
        peer: EntryName,
        /// Requests in flight from that peer by instance; an omitted instance has none.
        in_flight: Vec<(InstanceName, u32)>,
    },
    /// A peer entry instance is no longer heard from.
    PeerGone(EntryName),
    /// Whether the leader of the replicated state was heard from within the view lease.
    /// While it was not, only upstreams of the own zone are used.
    ViewFresh(bool),
    /// Time has passed.
    Tick,
}

/// Why an attempt certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum AttemptRefusal {
    /// The connection could not be established: no byte was sent.
    #[display("connect-failed")]
    ConnectFailed,
    /// The upstream replied that all its slots are taken.
    #[display("busy")]
    Busy,
    /// The upstream replied that it is draining or leaving.
    #[display("leaving")]
    Leaving,
    /// The upstream is in another pool or under another epoch.
    #[display("stale-epoch")]
    StaleEpoch,
}
