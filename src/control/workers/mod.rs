//! The leader's view of its workers: clocks, leases, health and what runs on each.
//!
//! It also decides when a run is stalled, whether its fault counts against its worker, how much best-effort tasks are throttled, and
//! which follower carries the orders for a worker. It reads the replicated state; placement,
//! capacity and upkeep read it.

mod carrier;
mod carriers;
mod fleet;
mod lease_limits;
mod reports;
mod run_view;
mod runs;
mod schedule;
mod silence;
mod sizes;
mod stall;
mod task_faults;
mod throttle;
mod worker_link;
mod worker_start;

pub use carrier::Carrier;
pub use carriers::Carriers;
pub use fleet::Fleet;
pub use lease_limits::LeaseLimits;
pub use reports::Reports;
pub use run_view::{Progress, RunPhase, RunView};
pub use runs::{RunLoad, Runs};
pub use sizes::{SizeShares, Sizes};
pub use stall::is_stalled;
pub use task_faults::{FailedRun, OUTLIVING_MARGIN_MS, Restarts, TaskFaults};
pub use throttle::Throttle;
pub use worker_link::WorkerLink;
pub use worker_start::WorkerStart;

pub(super) use carrier::ORDER_MAX_AGE_MS;
pub(super) use carriers::Losses;
pub(super) use worker_link::RENEWAL_SLACK_MS;
