//! The replicated log: our own agreement among the entry instances that have a
//! data folder (the voters), followed by those that have none (the learners).
//!
//! A replica is a plain object. The driver feeds it every [`Input`] with the
//! present time and carries out every [`Action`]; commands are opaque bytes.

mod action;
mod input;
mod message;
mod single;
mod status;

pub use action::Action;
pub use input::Input;
pub use message::{Entry, Message};
pub use single::Single;
pub use status::{Role, Status};
