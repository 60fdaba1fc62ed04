/// Why a job description is refused, with the remedy.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum SpecFault {
    /// The job has no steps.
    #[display("the job has no steps: add at least one")]
    NoStep,
    /// A step has no tasks.
    #[display("step {step} has no tasks: add at least one")]
    NoTask {
        /// The step's index, from 0.
        step: usize,
    },
    /// A step depends on itself or a later one.
    #[display("step {step} depends on step {on}: a step can only depend on earlier ones")]
    WrongOrder {
        /// The step's index, from 0.
        step: usize,
        /// The index of the step that it depends on.
        on: u16,
    },
    /// The payload is over the limit.
    #[display("the payload has {size_bytes} bytes: at most {limit_bytes} are allowed")]
    LargePayload {
        /// Its size, in bytes.
        size_bytes: usize,
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The description is over the limit.
    #[display(
        "the job takes {size_bytes} bytes: at most {limit_bytes} are allowed, submit it as several jobs"
    )]
    Large {
        /// Its size as it is stored, in bytes.
        size_bytes: usize,
        /// The limit, in bytes.
        limit_bytes: usize,
    },
    /// The job has too many tasks.
    #[display("the job has {tasks} tasks: at most {limit} are allowed")]
    ManyTasks {
        /// The number of tasks of one occurrence.
        tasks: usize,
        /// The limit.
        limit: usize,
    },
}
