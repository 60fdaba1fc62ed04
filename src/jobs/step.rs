use serde::{Deserialize, Serialize};

use super::Room;

/// A step of a job: tasks of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// How many tasks.
    pub tasks: u16,
    /// What each asks for.
    pub demand: Room,
    /// The caller's rough estimate of a task's run time.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether a task saves its progress and can resume.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether they are slower on more than one rack.
    pub rack_local: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack near which a task is fast.
    pub data_rack: Option<String>,
    /// At most so many tasks of an occurrence on one worker.
    pub per_worker_max: Option<u16>,
    /// Whether copies of a task may run side by side.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// The tail latency that a lasting task must keep for its own users.
    pub tail_target_ms: Option<u64>,
    /// Whether it only gets the processor time that others leave.
    pub best_effort: bool,
    /// How many tasks of a lasting step may be away at once by orders.
    pub disruption_budget: Option<u16>,
}

impl Step {
    /// What a task takes of a worker's room; a best-effort task takes no
    /// processor that is counted.
    pub fn reserved(&self) -> Room {
        Room {
            cpu_milli: if self.best_effort {
                0
            } else {
                self.demand.cpu_milli
            },
            ..self.demand
        }
    }
}
