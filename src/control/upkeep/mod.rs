//! Maintenance waves: which machines are drained and serviced now, within every step's
//! disruption budget.
//!
//! It reads the replicated state and the view of the workers and returns stops and upkeeps;
//! the node orders them.

mod disruption_budget;
mod down;
mod draining;
mod input;
mod order_state;
mod planner;
mod step;

pub use input::UpkeepInput;
pub use planner::Upkeep;
pub use step::UpkeepStep;
