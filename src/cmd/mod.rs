//! The commands, one file each.

pub mod measure_log;
