//! The data folder, a voter's durable storage: a write-ahead log with snapshots.
//!
//! The folder contains `identity` (the incarnation drawn when the folder was created),
//! `snapshot` (the latest one) and `log-N` segments of framed records. A write counts as
//! synced once both the file and the folder are synced. A torn tail, left by a crash
//! during a write that was never acknowledged, is truncated. Any other inconsistency is
//! an error that names file, offset and remedy; it is never skipped.

mod disk;
mod error;
mod files;
mod frame;
mod identity;
mod replay;
mod segment;
mod snapshot_file;
mod worker;

pub use disk::Disk;
pub use error::StorageError;
pub use worker::{WriteJob, spawn};
