//! The commands, one file each.

pub mod load;
pub mod upstream;
