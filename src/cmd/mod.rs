//! The commands, one file each.

pub mod load;
pub mod serve;
pub mod upstream;
