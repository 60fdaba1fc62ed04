//! Capacity: how many machines each pool needs, and which machines move between pools or
//! are powered off.
//!
//! It reads the replicated state and the view of the workers and returns moves; the node
//! orders them. It does not look at single placements.

mod demand;
mod forecast;
mod input;
mod machine_list;
mod machine_move;
mod order_pace;
mod planner;

pub use demand::{PoolDemand, WorkerUse, demand};
pub use forecast::{Forecast, OfferedLoad};
pub use input::CapacityInput;
pub use machine_list::MachineList;
pub use machine_move::Move;
pub use order_pace::OrderPace;
pub use planner::{Allotment, Capacity, Claim, allot};
