use crate::jobs::Ending;

use super::Rejection;

/// A decision or an observation that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Decision {
    /// A start was sent again, as it was not answered.
    #[display("start-sent-again")]
    StartSentAgain,
    /// A worker rejected a start.
    #[display("start-rejected-{_0}")]
    StartRejected(Rejection),
    /// A run ended.
    #[display("run-{_0}")]
    RunEnded(Ending),
    /// A run stood still and starts anew.
    #[display("run-stood-still")]
    RunStalled,
    /// A worker's leases ran out.
    #[display("worker-lapsed")]
    WorkerLapsed,
    /// A machine was ordered to another pool.
    #[display("machine-moved")]
    MachineMoved,
    /// A machine's upkeep was ordered.
    #[display("machine-upkeep")]
    Upkeep,
    /// This instance began to lead.
    #[display("lead-began")]
    LeadBegan,
    /// An order was carried out for the leader.
    #[display("order-carried")]
    OrderCarried,
    /// An order for the leader was dropped, as it came too late.
    #[display("order-stale")]
    OrderStale,
    /// An order that a follower was to carry out has no outcome.
    #[display("order-not-carried")]
    OrderNotCarried,
    /// An order to a worker never left.
    #[display("order-not-sent")]
    OrderNotSent,
    /// A follower was taken out of those that carry orders.
    #[display("carrier-out")]
    CarrierOut,
}
