use crate::control::CredentialsFault;
use crate::jobs::RunResult;

use crate::control::Rejection;

/// A decision or an event that is counted in the metrics, by its displayed name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Decision {
    /// A start order was sent again because it was not answered.
    #[display("start-sent-again")]
    StartSentAgain,
    /// A worker rejected a start order.
    #[display("start-rejected-{_0}")]
    StartRejected(Rejection),
    /// A run ended.
    #[display("run-{_0}")]
    RunEnded(RunResult),
    /// A run was stalled and is restarted.
    #[display("run-stood-still")]
    RunStalled,
    /// A run was stopped for more urgent work.
    #[display("run-preempted")]
    RunPreempted,
    /// All leases of a worker expired.
    #[display("worker-lapsed")]
    WorkerLapsed,
    /// A machine was ordered to move to another pool.
    #[display("machine-moved")]
    MachineMoved,
    /// A machine's upkeep was ordered.
    #[display("machine-upkeep")]
    UpkeepOrdered,
    /// This instance became the leader.
    #[display("lead-began")]
    LeadBegan,
    /// As a follower, an order was carried for the leader.
    #[display("order-carried")]
    OrderCarried,
    /// As a follower, an order of the leader was dropped because it arrived too late.
    #[display("order-stale")]
    OrderStale,
    /// An order that a follower was to carry counts as unanswered.
    #[display("order-not-carried")]
    OrderNotCarried,
    /// An order to a worker was not sent.
    #[display("order-not-sent")]
    OrderNotSent,
    /// A follower was excluded from carrying orders.
    #[display("carrier-out")]
    CarrierExcluded,
    /// A caller was not identified.
    #[display("call-unauthorized-{_0}")]
    CallUnauthorized(CredentialsFault),
    /// A job was refused because the memory for jobs is used up.
    #[display("job-without-memory")]
    JobWithoutMemory,
    /// A job was refused because it was cancelled before it arrived.
    #[display("job-cancelled-before")]
    JobCancelledBefore,
    /// The cancellation of an unknown job was refused because too many are kept.
    #[display("cancel-without-memory")]
    CancelWithoutMemory,
    /// The next occurrence of a recurring job was due and had to wait for the job's earlier ones,
    /// or for memory.
    #[display("occurrence-held-back")]
    OccurrenceHeldBack,
    /// The disk had no room.
    #[display("disk-full")]
    DiskFull,
    /// A workspace reached its quota while it had waiting tasks.
    #[display("workspace-at-quota")]
    QuotaReached,
    /// A step waited for long although a worker of its pool had room, counted once a second and
    /// pool.
    #[display("step-held")]
    StepHeld,
}
