//! The stand-in upstream: worker instances that announce themselves, run
//! requests for a declared time and answer with a proof of what they ran.
//!
//! [`Worker`], [`Orders`], [`RunTimes`] and [`RunBook`] decide and remember and
//! hold no socket; [`Host`] feeds them from its listeners and announcers. Every
//! run is recorded from its start, so that the account of an experiment can be
//! drawn from what really ran and not from what anybody was told.

mod announcer;
mod answer_body;
mod error;
mod faults;
mod host;
mod member;
mod orders;
mod refusal;
mod run_book;
mod run_record;
mod run_times;
mod service;
mod spec;
mod worker;

pub use error::Error;
pub use faults::{CutShort, Faults};
pub use host::{Host, HostSettings};
pub use orders::Orders;
pub use refusal::Refusal;
pub use run_book::RunBook;
pub use run_record::{RunEnd, RunRecord};
pub use run_times::RunTimes;
pub use spec::Spec;
pub use worker::{Step, Worker};
