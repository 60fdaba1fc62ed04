//! The replicated state: rows, the fleet, claims on request keys, patient jobs.
//!
//! [`State`] changes only by applying a [`Command`], in the same order on every
//! process. Wall-clock time enters only as a field that the proposer set.

mod command;
mod reply;
#[allow(clippy::module_inception)] // one type a file, named after the type
mod state;

pub use command::{Change, Command, CommandId, RowChange};
pub use reply::Reply;
pub use state::State;
