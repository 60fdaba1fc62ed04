//! The commands, one file each.

pub mod load;
pub mod proxy;
pub mod serve;
pub mod upstream;
