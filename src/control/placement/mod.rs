//! Placement: which waiting tasks start now, in which order, and on which workers.
//!
//! It reads the replicated state and the view of the workers and returns starts; the node
//! makes them durable and orders them. It orders nothing itself and knows nothing of moves
//! and maintenance beyond the workers that are closed to new tasks.

mod backlog;
mod candidate;
mod candidates;
mod hold;
mod pending_step;
mod placed_start;
mod pool_pass;
mod quota_room;
mod ranking;
mod scheduler;
mod scheduler_input;
mod service_class;
mod tickets;
mod workspace_shares;

pub use placed_start::Placement;
pub use ranking::{Rank, rank_job};
pub use scheduler::Scheduler;
pub use scheduler_input::SchedulerInput;
pub use service_class::{Remaining, ServiceClass, Timeliness};
pub use workspace_shares::WorkspaceShares;

pub(in crate::control) use hold::{Hold, PoolRoom};
