//! The commands, one file each.
