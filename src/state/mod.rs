//! The replicated state: rows, the fleet, claims on request keys, patient jobs.
//!
//! [`State`] changes only by applying a [`Command`], in the same order on every
//! process, so that equal logs give equal bytes. Wall-clock time enters only as
//! a field that the proposer set. Every collection has a stated bound.
//!
//! How long things are kept, on the state's clock:
//! - the answer to a claimed key: [`KEY_RETENTION_MS`] from its end;
//! - an ended job: [`JOB_RETENTION_MS`] from its end;
//! - then only that the key was used: [`TOMBSTONE_RETENTION_MS`] more.

mod changes;
mod claim;
mod claims;
mod clock;
mod command;
mod entries;
mod fence;
mod fingerprint;
mod job;
mod jobs;
mod reply;
mod rows;
mod snapshot;
mod stamp;
#[allow(clippy::module_inception)] // one type a file, named after the type
mod state;
mod tombstones;
mod trail;

pub use changes::CHANGES_KEPT;
pub use claim::{Claim, ClaimPhase};
pub use claims::{KEY_RETENTION_MS, MAX_ANSWER_BYTES, MAX_CLAIMS, MAX_ONE_ANSWER_BYTES};
pub use command::{Change, Command, CommandId, NewJob, RowChange};
pub use entries::{EntryState, PROPOSALS_KEPT};
pub use fence::Fence;
pub use fingerprint::{Fingerprint, scoped_key};
pub use job::{Job, JobId, JobPhase};
pub use jobs::{JOB_RETENTION_MS, MAX_JOB_PART_BYTES, MAX_JOBS, MAX_JOBS_BYTES, STATUS_TOO_LARGE};
pub use reply::{ClaimReply, JobReply, Reply};
pub use rows::{REMOVED_KEPT, ROW_TRAIL, RowStep};
pub use snapshot::{MAX_STATE_BYTES, SnapshotError};
pub use state::{State, Usage};
pub use tombstones::{MAX_TOMBSTONES, TOMBSTONE_RETENTION_MS};
pub use trail::{TRAIL_STEPS, Trail, TrailEvent, TrailStep};
