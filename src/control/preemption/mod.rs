//! Preemption: which runs are stopped so that their machine is free sooner for more urgent work.
//!
//! It reads the replicated state and the view of the workers and returns runs to stop; the node
//! stops them. It chooses no machine: the capacity planner says which workers are drained and
//! for what priority of work.

mod preemption_input;
mod preemptor;
mod victim;

pub use preemption_input::PreemptionInput;
pub use preemptor::Preemptor;
pub use victim::Victim;
