use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::jobs::{RunResult, TaskId};
use crate::model::InstanceName;

/// An order from the leader to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Id that links the outcome to the order.
    pub id: u64,
    /// Address at which the worker takes orders.
    pub address: SocketAddr,
    /// Incarnation that the order is for; any other rejects it.
    pub worker: InstanceName,
    /// The leader's fencing token.
    pub fence: u64,
    /// Timeout of the call to the worker.
    pub timeout_ms: u64,
    /// The action.
    pub kind: OrderKind,
}

impl Order {
    /// Returns the approximate size of the order in a message.
    pub fn size_bytes(&self) -> usize {
        let texts = match &self.kind {
            OrderKind::Start {
                payload,
                checkpoint,
                ticket,
                ..
            } => payload.len() + checkpoint.len() + ticket.as_ref().map_or(0, String::len),
            OrderKind::Stop { .. } | OrderKind::Renew { .. } | OrderKind::Throttle { .. } => 0,
        };
        texts + BASE_SIZE_BYTES
    }
}

/// Approximate size of an order, a run or an end in a message without its texts.
const BASE_SIZE_BYTES: usize = 100;

/// The action that a worker is to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Start a run.
    Start {
        /// Task to run.
        task: TaskId,
        /// Number of this attempt at the task.
        attempt: u32,
        /// Input that is passed to the task.
        payload: String,
        /// New end of the worker's lease, on the worker's clock.
        lease_end_ms: u64,
        /// Saved progress from which to resume; empty to start from the beginning.
        checkpoint: String,
        /// The advisor's permission, where one is needed.
        ticket: Option<String>,
    },
    /// Stop a run.
    Stop {
        /// Task of the run.
        task: TaskId,
        /// Attempt of the run.
        attempt: u32,
    },
    /// Renew the lease, acknowledge ends, and list the runs and the ends.
    Renew {
        /// New end of the worker's lease, on the worker's clock; `None` leaves it unchanged.
        lease_end_ms: Option<u64>,
        /// Number of the last end that is durable; ends up to it may be forgotten.
        acknowledged: u64,
        /// How long the worker may wait for an end before it answers.
        wait_ms: u64,
    },
    /// Limit a run to a share of its full speed.
    Throttle {
        /// Task of the run.
        task: TaskId,
        /// Attempt of the run.
        attempt: u32,
        /// Share of the full speed, 0 to 100.
        percent: u8,
    },
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The worker carried out the order.
    Done {
        /// The worker's clock.
        clock_ms: Option<u64>,
    },
    /// The answer to [`OrderKind::Renew`].
    Listed {
        /// The worker's clock.
        clock_ms: u64,
        /// Runs that are active.
        running: Vec<Running>,
        /// Ends that are not acknowledged yet.
        ended: Vec<Ended>,
    },
    /// The worker rejected the order, which had no effect.
    Rejected {
        /// Reason of the rejection.
        reason: Rejection,
        /// The worker's clock.
        clock_ms: Option<u64>,
    },
    /// There was no answer: the order may have been carried out or may still be.
    Unanswered,
    /// The order was not sent and will not be: it timed out while it waited for a connection
    /// to the worker, or its carrier did not accept it. This says nothing about the worker.
    NotSent,
    /// An outcome with the time at which the worker's process started.
    ///
    /// A worker may start again under its name. It then holds nothing of what it held, and
    /// its clock and the numbers of its ends begin anew.
    Since {
        /// Time of the start in milliseconds since 1970, by the worker's clock.
        started_unix_ms: u64,
        /// The outcome.
        outcome: Box<OrderOutcome>,
    },
}

impl OrderOutcome {
    /// Splits off the time at which the worker's process started, if the worker said it.
    pub fn split_start(self) -> (Option<u64>, Self) {
        match self {
            Self::Since {
                started_unix_ms,
                outcome,
            } => (Some(started_unix_ms), *outcome),
            outcome => (None, outcome),
        }
    }

    /// Returns the approximate size of the outcome in a message.
    pub fn size_bytes(&self) -> usize {
        let (running, ended) = match self {
            Self::Listed { running, ended, .. } => (running, ended),
            Self::Since { outcome, .. } => return outcome.size_bytes(),
            Self::Done { .. } | Self::Rejected { .. } | Self::Unanswered | Self::NotSent => {
                return BASE_SIZE_BYTES;
            }
        };
        let running = running
            .iter()
            .map(|run| run.checkpoint.len() + BASE_SIZE_BYTES);
        let ended = ended
            .iter()
            .map(|end| end.checkpoint.len() + BASE_SIZE_BYTES);
        running.chain(ended).sum::<usize>() + BASE_SIZE_BYTES
    }
}

/// Reason for which a worker rejects an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Rejection {
    /// The worker has seen a higher fencing token.
    #[display("fence")]
    Fence,
    /// A run of the task with this or a higher attempt number has ended or was stopped there.
    #[display("old")]
    Old,
    /// The lease end in the order has passed.
    #[display("late")]
    Late,
    /// There is not enough free room for the task.
    #[display("room")]
    Room,
    /// The advisor's permission is missing or has expired.
    #[display("ticket")]
    Ticket,
    /// The order is for another incarnation of the worker.
    #[display("incarnation")]
    Incarnation,
    /// The worker is not healthy.
    #[display("unhealthy")]
    Unhealthy,
    /// The worker could not decode the order.
    #[display("malformed")]
    Malformed,
}

/// An active run as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Task of the run.
    pub task: TaskId,
    /// Attempt of the run.
    pub attempt: u32,
    /// Saved progress; empty if there is none.
    pub checkpoint: String,
    /// Progress, 0 to 100; for a lasting task, how far it has started up.
    pub percent: u8,
    /// Over the last half second, the tail latency in milliseconds of a task that serves
    /// users, or the processor use of any other task in thousandths of a core.
    pub gauge: Option<u64>,
}

/// An ended run as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Sequence number of the end within the worker's incarnation.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Attempt of the run.
    pub attempt: u32,
    /// Way in which the run ended.
    pub ending: RunResult,
    /// Saved progress; empty if there is none.
    pub checkpoint: String,
}
