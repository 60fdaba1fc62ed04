//! Tests of pools, waves, moves and repair: the fleet against a recount from
//! scratch, and the controller with simulated machines.
#![allow(missing_docs, clippy::unwrap_used)]

mod faults;
mod fleet_twin;
mod plans;
mod recount;
mod stop_proof;
mod worlds;
