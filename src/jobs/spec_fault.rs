/// Why a job description is refused, with the remedy.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum SpecFault {
    /// The job has no steps.
    #[display("the job has no step: give one at least")]
    NoStep,
    /// A step has no tasks.
    #[display("step {step} has no task: give one at least")]
    NoTask {
        /// The step's index, from 0.
        step: usize,
    },
    /// A step depends on itself or a later one.
    #[display("step {step} depends on step {on}: only earlier steps can be named")]
    WrongOrder {
        /// The step's index, from 0.
        step: usize,
        /// The index of the step that it depends on.
        on: u16,
    },
    /// The payload is over the limit.
    #[display("the payload has {size_bytes} bytes: {limit_bytes} are the most")]
    LargePayload {
        /// Its size, in bytes.
        size_bytes: usize,
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The description is over the limit.
    #[display(
        "the job takes {size_bytes} bytes: {limit_bytes} are the most, hand it in as several jobs"
    )]
    Large {
        /// Its size as it is stored, in bytes.
        size_bytes: usize,
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The job has too many tasks.
    #[display("the job has {tasks} tasks at once: {limit} are the most")]
    ManyTasks {
        /// The number of tasks of one occurrence, or of all if its tasks never end.
        tasks: usize,
        /// The limit.
        limit: usize,
    },
}
