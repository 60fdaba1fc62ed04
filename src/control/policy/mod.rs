//! Parameters of the decisions: the operator's policy file, and the timeouts of the
//! deployment. Every decision takes them as an argument.

mod arbitration;
mod carriers;
mod moves;
mod needs;
mod order;
mod placement;
mod policy_fault;
mod preemption;
mod runs;
mod settings;
mod standby;
mod timing;
mod turns;
mod upkeep;

pub use arbitration::ArbitrationPolicy;
pub use carriers::CarriersPolicy;
pub use moves::MovesPolicy;
pub use needs::NeedsPolicy;
pub use order::OrderPolicy;
pub use placement::PlacementPolicy;
pub use policy_fault::PolicyFault;
pub use preemption::PreemptionPolicy;
pub use runs::RunsPolicy;
pub use settings::Policy;
pub use standby::StandbyPolicy;
pub use timing::Timing;
pub use turns::TurnsPolicy;
pub use upkeep::UpkeepPolicy;
