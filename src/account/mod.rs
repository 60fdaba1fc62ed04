//! Open-loop load and its closing account.
//!
//! [`Plan`] decides what is sent and when, from a seed; [`Client`] sends it;
//! [`Ledger`] keeps what callers were told; [`Account`] compares that with what
//! the stand-ins say they ran. Plan, ledger and account hold no socket or clock.
//!
//! The load is open: a request is due at its moment whether or not earlier ones
//! were answered, and latency counts from that moment. A closed loop slows down
//! with the system it measures and hides the waits that callers see.

#[allow(clippy::module_inception)] // one type a file, named after the type
mod account;
mod answer;
mod client;
mod error;
mod latency;
mod ledger;
mod mix;
mod plan;
mod runner;

pub use account::Account;
pub use answer::{Answer, Proof};
pub use client::Client;
pub use error::Error;
pub use latency::{Latency, Quantiles};
pub use ledger::{Ledger, Sent};
pub use mix::{Mix, ServiceShare, TeamShare};
pub use plan::{Plan, Planned};
pub use runner::{Experiment, Outcome, fetch_runs};
