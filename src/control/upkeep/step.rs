use crate::jobs::TaskId;
use crate::model::InstanceName;

/// An action that the leader takes for a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpkeepStep {
    /// Stop a run so that its task can start on another worker.
    Stop {
        /// The worker that the run is on.
        worker: InstanceName,
        /// The task.
        task: TaskId,
        /// The attempt number of the run.
        attempt: u32,
    },
    /// Begin the upkeep of a drained machine.
    Begin {
        /// The wave's number.
        wave: u64,
        /// The machine.
        machine: String,
        /// The worker incarnation on the machine; `None` if the machine is off.
        worker: Option<InstanceName>,
    },
}
