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
    /// No pool carries the service.
    #[display("unknown-service")]
    UnknownService,
    /// No instance of the pool could ever carry it.
    #[display("never-fits")]
    NeverFits,
    /// It cannot be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// The queue holds more than can be served in time.
    #[display("queue-full")]
    QueueFull,
    /// The team's quota is used up.
    #[display("team-quota")]
    TeamQuota,
    /// The row's weight or limit is zero here.
    #[display("row-closed")]
    RowClosed,
    /// No instance of the pool can be reached.
    #[display("no-instance")]
    NoInstance,
    /// The retry budget is used up.
    #[display("retry-budget")]
    RetryBudget,
    /// The caller went away or cancelled.
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
    /// A field of the request is wrong.
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
