use serde::{Deserialize, Serialize};

/// Why a request was refused. Each reason has its own counter.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No pool has the service.
    #[display("unknown-service")]
    UnknownService,
    /// No instance of the pool is large enough for the request.
    #[display("never-fits")]
    NeverFits,
    /// The request cannot be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// The queue holds more requests than can be served in time.
    #[display("queue-full")]
    QueueFull,
    /// The team's quota is exhausted.
    #[display("team-quota")]
    TeamQuota,
    /// The team, or the service in every zone, is closed: the weight or limit of
    /// its row is zero.
    #[display("row-closed")]
    RowClosed,
    /// No instance of the pool can be reached.
    #[display("no-instance")]
    NoInstance,
    /// The retry budget is exhausted.
    #[display("retry-budget")]
    RetryBudget,
    /// The caller disconnected or cancelled.
    #[display("cancelled")]
    Cancelled,
    /// The replicated state cannot be reached, so no claim can be made.
    #[display("no-quorum")]
    NoQuorum,
    /// This entry instance has just started and does not know the pools yet.
    #[display("starting")]
    Starting,
    /// This entry instance is stopping.
    #[display("stopping")]
    Stopping,
    /// A field of the request is invalid.
    #[display("bad-request")]
    BadRequest,
    /// The key is in use for a different request.
    #[display("key-conflict")]
    KeyConflict,
}

impl RefusalReason {
    /// Every reason, in the order of the counters.
    pub const ALL: [Self; 14] = [
        Self::UnknownService,
        Self::NeverFits,
        Self::Deadline,
        Self::QueueFull,
        Self::TeamQuota,
        Self::RowClosed,
        Self::NoInstance,
        Self::RetryBudget,
        Self::Cancelled,
        Self::NoQuorum,
        Self::Starting,
        Self::Stopping,
        Self::BadRequest,
        Self::KeyConflict,
    ];
}
