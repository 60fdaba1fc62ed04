//! The replicated state: what every control instance knows after the same log entries.
//!
//! [`Change`]s in the log are its only input, so it takes no time, random number or other
//! input of its own. It holds the configuration in force, jobs, workers, waves and the
//! statistics from which run times and demand are estimated. The node applies committed
//! commands to it; all decisions read it.

mod arrivals;
mod cancelled_ids;
mod change;
mod estimates;
mod history;
mod job_memory;
mod load;
mod pending;
mod report;
mod runs_by_worker;
mod state;
mod wave;
mod worker;
mod worker_index;
mod workspace_usage;

pub use arrivals::{Arrivals, JobSize};
pub use cancelled_ids::CancelledIds;
pub use change::{Change, Command};
pub use estimates::Estimates;
pub use history::History;
pub use job_memory::JobMemory;
pub use load::Load;
pub use report::{Phase, Report};
pub use runs_by_worker::RunsByWorker;
pub use state::State;
pub use wave::Wave;
pub use worker::Worker;
pub use worker_index::WorkerIndex;
pub use workspace_usage::WorkspaceUsage;

pub(super) use arrivals::BUCKET_MS;
pub(super) use pending::Pending;
