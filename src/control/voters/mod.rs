//! Which control instances vote.
//!
//! The voters must outlast the losses that the settings name: so many instances, or so many
//! whole availability zones, or so many regions at once. [`VoterPlan`] gives their number and
//! how many of them one zone or region may hold, [`next_voter_change`] the next step from the
//! present voters to such a set.

mod location;
mod member;
mod plan;
mod spread;
mod step;
mod tolerance;

pub use location::Location;
pub use member::Member;
pub use plan::VoterPlan;
pub use spread::{Borne, Spread};
pub(in crate::control) use step::VOTER_TIMEOUT_MS;
pub use step::next_voter_change;
pub use tolerance::Tolerance;
