//! The data folder: where a voter keeps what it must not forget.
//!
//! The folder holds `identity` (the incarnation drawn when the folder was
//! created), `snapshot` (the latest one) and `log-N` segments of framed records.
//! Synced means that file and folder are synced. A torn tail, left by a crash in
//! the middle of a write that nobody was told of, is cut; anything else that does
//! not add up is refused with file, offset and remedy, never skipped.

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
pub use worker::{Job, spawn};
