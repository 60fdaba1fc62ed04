//! What clients that do not behave can make a process hold: its memory, the bytes that have
//! arrived and are not read, and its descriptors stay within the limits of its settings, the
//! process lives, and an ordinary caller is answered while the crowd is still connected.
//!
//! The limits are far below those of real machines, so that a small crowd exceeds them. The
//! tests take turns, because each needs the machine's memory and sockets for itself.
#![allow(missing_docs, clippy::unwrap_used)]

#[path = "../platform/deployment.rs"]
mod deployment;
#[path = "../own_loopback/mod.rs"]
mod own_loopback;
#[path = "../platform/stand_in.rs"]
#[allow(dead_code)]
mod stand_in;

#[path = "../support/mod.rs"]
mod support;

mod body;
mod calm;
mod clients;
mod control;
mod entry;
mod native;
mod watch;

use std::sync::{Mutex, MutexGuard, PoisonError};

static TURN: Mutex<()> = Mutex::new(());

/// Waits until no other test of this program runs.
fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}
