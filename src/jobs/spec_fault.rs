/// What is wrong with a job, with the remedy.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum SpecFault {
    /// No step.
    #[display("the job has no step: give one at least")]
    NoStep,
    /// A step without a task.
    #[display("step {step} has no task: give one at least")]
    NoTask {
        /// The step.
        step: usize,
    },
    /// A step that depends on itself or a later one.
    #[display("step {step} depends on step {on}: only earlier steps can be named")]
    WrongOrder {
        /// The step.
        step: usize,
        /// What it names.
        on: u16,
    },
    /// A payload above the limit.
    #[display("the payload has {size_bytes} bytes: {limit_bytes} are the most")]
    LargePayload {
        /// Its size.
        size_bytes: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// A description above the limit.
    #[display(
        "the job takes {size_bytes} bytes: {limit_bytes} are the most, hand it in as several jobs"
    )]
    Large {
        /// Its size as it is stored.
        size_bytes: usize,
        /// The limit.
        limit_bytes: usize,
    },
    /// More tasks than one job may have.
    #[display("the job has {tasks} tasks: {limit} are the most")]
    ManyTasks {
        /// How many.
        tasks: usize,
        /// The limit.
        limit: usize,
    },
}
