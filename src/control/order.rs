use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::jobs::{Ending, TaskId};
use crate::model::InstanceName;

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Names it in the outcome.
    pub id: u64,
    /// Where the worker takes orders.
    pub address: SocketAddr,
    /// The incarnation that is meant; any other refuses.
    pub worker: InstanceName,
    /// The leader's fencing token.
    pub fence: u64,
    /// How long its answer is waited for.
    pub timeout_ms: u64,
    /// What to do.
    pub kind: OrderKind,
}

impl Order {
    /// About its size in a message.
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
        texts + FIXED_BYTES
    }
}

/// About the size of an order, a run or an end in a message, but for its texts.
const FIXED_BYTES: usize = 100;

/// What a worker is to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Start a run.
    Start {
        /// Of this task.
        task: TaskId,
        /// The number of the start.
        attempt: u32,
        /// Handed to the task.
        payload: String,
        /// The end of the worker's lease, on its clock.
        lease_end_ms: u64,
        /// Where to resume; empty for the beginning.
        checkpoint: String,
        /// The advisor's permission, where one is needed.
        ticket: Option<String>,
    },
    /// Stop a run.
    Stop {
        /// Of this task.
        task: TaskId,
        /// The number of its start.
        attempt: u32,
    },
    /// Renew the lease, acknowledge ends, list what runs and what ended.
    Renew {
        /// The new end of the worker's lease, on its clock; none leaves it.
        lease_end_ms: Option<u64>,
        /// Ends up to this one are durable and may be forgotten.
        acknowledged: u64,
        /// How long to wait for an end.
        wait_ms: u64,
    },
    /// Let a run work at a share of its speed.
    Throttle {
        /// Of this task.
        task: TaskId,
        /// The number of its start.
        attempt: u32,
        /// The share, 0 to 100.
        percent: u8,
    },
}

/// What came of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It was carried out.
    Done {
        /// The worker's clock.
        clock_ms: Option<u64>,
    },
    /// The answer to [`OrderKind::Renew`].
    Listed {
        /// The worker's clock.
        clock_ms: u64,
        /// What runs.
        running: Vec<Running>,
        /// What ended and is not acknowledged.
        ended: Vec<Ended>,
    },
    /// It was refused and did nothing.
    Rejected {
        /// Why.
        reason: Rejection,
        /// The worker's clock.
        clock_ms: Option<u64>,
    },
    /// Whether it was or will be carried out is not known.
    Unanswered,
    /// It has not left and will not: its time was over before it got its turn with the
    /// worker, or who was to carry it out did not take it. It says nothing of the worker.
    NotSent,
}

impl OrderOutcome {
    /// About its size in a message.
    pub fn size_bytes(&self) -> usize {
        let Self::Listed { running, ended, .. } = self else {
            return FIXED_BYTES;
        };
        let running = running.iter().map(|run| run.checkpoint.len() + FIXED_BYTES);
        let ended = ended.iter().map(|end| end.checkpoint.len() + FIXED_BYTES);
        running.chain(ended).sum::<usize>() + FIXED_BYTES
    }
}

/// Why a worker refuses an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Rejection {
    /// A higher fencing token was seen.
    #[display("fence")]
    Fence,
    /// A run with this number or a higher one ended or was stopped there.
    #[display("old")]
    Old,
    /// The lease end has passed.
    #[display("late")]
    Late,
    /// It does not fit.
    #[display("room")]
    Room,
    /// The advisor's permission is missing or over.
    #[display("ticket")]
    Ticket,
    /// The incarnation that was meant is over.
    #[display("incarnation")]
    Incarnation,
    /// The worker is not healthy.
    #[display("unhealthy")]
    Unhealthy,
    /// It could not be read.
    #[display("malformed")]
    Malformed,
}

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// The number of its start.
    pub attempt: u32,
    /// Its saved progress; empty for none.
    pub checkpoint: String,
    /// How far it is up, 0 to 100.
    pub percent: u8,
    /// The tail latency in milliseconds of a task that serves, else the
    /// processor in use in thousandths of a core; over the last half second.
    pub gauge: Option<u64>,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// Counts the ends of the worker's incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The number of its start.
    pub attempt: u32,
    /// How it ended.
    pub ending: Ending,
    /// Its saved progress; empty for none.
    pub checkpoint: String,
}
