//! Pools, availability budgets, moves, maintenance waves and repair.
//!
//! [`Fleet`] is replicated: it changes only by applying a [`FleetCommand`], in
//! the same order on every process. It checks every voluntary absence, so that
//! two operators, or an old and a new leader, cannot both use the same spare
//! instance. The leader's [`Controller`] compares the fleet with the reports of
//! the upstreams and proposes the next commands.

pub mod bounds;
mod budget_use;
mod cause;
mod command;
mod controller;
mod controller_action;
mod controller_settings;
mod detector;
mod fleet;
mod observed;
mod pace;
mod plan;
mod planner;
mod record;
mod refusal;
mod room;
mod stop_proof;
mod tally;
mod trail;
mod wave;
mod wave_spec;
mod wave_weights;

pub use budget_use::BudgetUse;
pub use cause::Cause;
pub use command::FleetCommand;
pub use controller::Controller;
pub use controller_action::{ControllerAction, PlatformOrder};
pub use controller_settings::ControllerSettings;
pub use detector::Detector;
pub use fleet::Fleet;
pub use observed::{EntryAck, InstanceSeen, Observed};
pub use plan::{Figures, Plan, Step, Work};
pub use planner::plan;
pub use record::Record;
pub use refusal::FleetRefusal;
pub use room::Room;
pub use stop_proof::{StopProof, Verdict};
pub use tally::Tally;
pub use trail::{Note, Trail};
pub use wave::{SeenVisits, Wave, WaveState};
pub use wave_spec::{Selection, WaveKind, WaveSpec};
pub use wave_weights::WaveWeights;
