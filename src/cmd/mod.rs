//! The commands, one file each.
pub mod check;
