use crate::model::{EntryName, InstanceName, UpstreamReport};

use super::{AttemptId, Request, RequestId, View};

/// Everything that can happen to a dispatcher.
#[derive(Clone, Debug)]
pub enum Input<'a> {
    /// A request arrived (for one not repeatable: after its claim was granted).
    Offer(Request),
    /// The caller went away or cancelled. Before the dispatch it ends with
    /// `not-run`; afterwards the attempt goes on and its slot stays taken until
    /// it ends.
    Cancel(RequestId),
    /// An attempt certainly did not run.
    Refused {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// What was seen.
        refusal: AttemptRefusal,
    },
    /// A whole answer came.
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
    /// Bytes may have reached the upstream and no whole answer came.
    Lost {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Time from dispatch to the loss, in microseconds.
        run_us: u64,
    },
    /// An upstream announced itself or refreshed, here or through a peer.
    Report {
        /// What it said.
        report: &'a UpstreamReport,
        /// When the lease that it carries ends, on the clock of `now_ms`.
        lease_until_ms: u64,
    },
    /// Rows, pools or instances changed in the replicated state.
    View(View),
    /// What a peer entry instance has in flight, as heard now.
    PeerLoad {
        /// The peer.
        peer: EntryName,
        /// In flight from that peer by instance; an instance left out has none.
        in_flight: Vec<(InstanceName, u32)>,
    },
    /// A peer entry instance is not heard from any more.
    PeerGone(EntryName),
    /// The replicated state's leader was (`true`) or was not (`false`) heard
    /// within the view lease. While not, only upstreams of the own zone are used.
    ViewFresh(bool),
    /// Time passed.
    Tick,
}

/// Why an attempt certainly did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub enum AttemptRefusal {
    /// The connection could not be made: no byte was sent.
    #[display("connect-failed")]
    ConnectFailed,
    /// The upstream said that all its slots are taken.
    #[display("busy")]
    Busy,
    /// The upstream said that it drains or leaves.
    #[display("leaving")]
    Leaving,
    /// The upstream is in another pool or under another epoch.
    #[display("stale-epoch")]
    StaleEpoch,
}
