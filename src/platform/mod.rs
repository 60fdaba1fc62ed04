//! Adapter to the platform that runs the machines: its names, wire formats and endpoints.
//!
//! The adapter makes no decisions. It decodes incoming data into the program's own types and
//! encodes outgoing data from them. No other module uses the platform's names.

mod advisor;
mod bounded_list;
mod caught_signals;
mod cell;
mod client;
mod configuration;
mod control_calls;
mod entry_calls;
mod jobs;
mod machines;
mod outside;
mod reader;
mod replies;
mod reports;
mod serve;
mod settings;
mod settings_fault;
mod status_page;
mod workers;

use bounded_list::BoundedList;
pub use caught_signals::CaughtSignals;
pub use client::{Client, ClientError};
pub use configuration::read_configuration;
pub use control_calls::ControlCalls;
pub use entry_calls::EntryCalls;
pub use jobs::read_job;
pub use outside::Platform;
pub use reports::read_report;
pub use serve::{ServeError, serve_control, serve_entry};
pub use settings::{SETTINGS_VARIABLE, Settings};
pub use settings_fault::SettingsFault;
pub use workers::read_listing;
