//! Open-loop load generator that checks the answers against the upstreams' records.
//!
//! [`Plan`] generates the requests and their due times from a seed; [`Client`] sends
//! them; [`Ledger`] records the answers that callers got; [`Account`] compares these
//! with the runs that the stand-in upstreams recorded. `Plan`, `Ledger` and `Account`
//! use no socket or clock.
//!
//! In an open loop a request is due at its planned time whether or not earlier ones
//! were answered, and its latency counts from that time. A closed loop slows down with
//! the system that it measures and hides the waits that callers see.

#[allow(clippy::module_inception)] // each file is named after its type
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
pub use ledger::{Ledger, SentRequest};
pub use mix::{Mix, ServiceShare, TeamShare};
pub use plan::{Plan, PlannedRequest};
pub use runner::{Experiment, Outcome, fetch_runs};
