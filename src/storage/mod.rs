//! The data folder, a voter's durable storage: a write-ahead log with snapshots.
//!
//! The folder contains `identity` (the incarnation drawn when the folder was created),
//! `snapshot` (the latest one) and `log-N` segments of framed records. A write counts as
//! synced once both the file and the folder are synced. A torn tail, left by a crash
//! during a write that was never acknowledged, is truncated. A write for which the disk has no
//! room is undone and tried again until there is some; until then nothing is acknowledged. Any other inconsistency is
//! an error that names file, offset and remedy; it is never skipped.

mod allowance;
mod disk;
mod error;
mod files;
mod frame;
mod identity;
mod replay;
mod segment;
mod snapshot_file;
mod worker;

pub use allowance::Allowance;
pub use disk::Disk;
pub use error::StorageError;
pub use worker::{DiskEvent, WriteJob, spawn};
