//! The adapter to the platform: its wire formats, its connections, and end-to-end tests with
//! separate processes and stand-in workers on loopback.
#![allow(missing_docs, clippy::unwrap_used)]

#[path = "../own_loopback/mod.rs"]
mod own_loopback;

mod connections;
mod crowd;
mod departed;
mod deployment;
mod formats;
mod keys;
mod leaderless;
mod path;
mod settings;
mod stand_in;
