//! The adapter: what is read and written in the platform's formats, and the whole path
//! as separate processes with stand-in workers on loopback.
#![allow(missing_docs, clippy::unwrap_used)]

#[path = "../own_loopback/mod.rs"]
mod own_loopback;

mod connections;
mod crowd;
mod formats;
mod leaderless;
mod path;
mod settings;
mod stand_in;
