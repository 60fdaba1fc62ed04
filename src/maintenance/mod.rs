//! Pools, availability budgets, moves, maintenance waves and repair.
//!
//! [`Fleet`] is replicated: it changes only by applying a [`FleetCommand`], in
//! the same order on every process. The leader's controller reads it beside what
//! the upstreams report and proposes the next commands.

mod command;
mod fleet;

pub use command::{FleetCommand, FleetRefusal};
pub use fleet::Fleet;
