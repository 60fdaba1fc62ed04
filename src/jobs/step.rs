use serde::{Deserialize, Serialize};

use super::Resources;

/// A step of a job: a number of tasks with the same requirements.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The number of tasks.
    pub tasks: u16,
    /// The resources that each task requests.
    pub demand: Resources,
    /// The caller's rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Indexes of the earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether a task writes checkpoints and can resume from them.
    pub checkpoints: bool,
    /// Whether the tasks are a gang: they only work if all of them run at once.
    pub gang: bool,
    /// Whether the tasks are slower if they are spread over several racks.
    pub rack_local: bool,
    /// A label that the worker must have.
    pub label: Option<String>,
    /// The rack near its data, where a task runs faster.
    pub data_rack: Option<String>,
    /// Largest number of tasks of one occurrence on one worker.
    pub per_worker_max: Option<u16>,
    /// Whether several copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// The program image that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Largest tail latency of a lasting task for its own users, in milliseconds.
    pub tail_target_ms: Option<u64>,
    /// Whether the tasks only get the processor time that others leave unused.
    pub best_effort: bool,
    /// Largest number of tasks of a lasting step that orders may interrupt at once.
    pub disruption_budget: Option<u16>,
}

impl Step {
    /// Its size in memory, in bytes, without what the allocator adds.
    pub fn memory_bytes(&self) -> usize {
        let texts = [
            self.label.as_ref(),
            self.data_rack.as_ref(),
            Some(&self.image),
        ];
        let texts = texts.into_iter().flatten().map(String::len);
        size_of::<Self>() + texts.sum::<usize>() + size_of_val(self.after.as_slice())
    }

    /// The resources that a task reserves on a worker; a best-effort task reserves no
    /// processor.
    pub fn reserved(&self) -> Resources {
        Resources {
            cpu_milli: if self.best_effort {
                0
            } else {
                self.demand.cpu_milli
            },
            ..self.demand
        }
    }
}
