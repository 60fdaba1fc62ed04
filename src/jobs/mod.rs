//! Jobs that callers submit, as steps of tasks that depend on one another, and the
//! progress of each job.
//!
//! These are plain data without clock or network. A job changes only through the
//! replicated state, so every control instance sees the same attempts in the same
//! order.

mod ending;
mod job;
mod job_id;
mod job_state;
mod occurrence;
mod recurrence;
mod room;
mod run;
mod spec;
mod spec_fault;
mod step;
mod task;
mod task_id;

pub use ending::RunResult;
pub use job::Job;
pub use job_id::JobId;
pub use job_state::JobState;
pub use occurrence::Occurrence;
pub use recurrence::Recurrence;
pub use room::Resources;
pub use run::Run;
pub use spec::{JobSpec, MAX_TASKS, PAYLOAD_LIMIT_BYTES};
pub use spec_fault::SpecFault;
pub use step::Step;
pub use task::Task;
pub use task_id::TaskId;
