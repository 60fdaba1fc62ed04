//! The replicated state: rows, the fleet, claims on request keys, patient jobs.
//!
//! [`State`] changes only by applying a [`Command`], in the same order on every
//! process, so that equal logs give equal bytes. Wall-clock time enters only as
//! a field that the proposer sets. Every collection has a stated bound.
//!
//! Retention, on the state's clock:
//! - the answer to a claimed key is kept for [`KEY_RETENTION_MS`] after the claim
//!   ended;
//! - an ended job is kept for [`JOB_RETENTION_MS`] after its end;
//! - after either, a tombstone keeps only the fact that the key was used, for
//!   another [`TOMBSTONE_RETENTION_MS`].

mod change_replies;
mod claim;
mod claims;
mod clock;
mod command;
mod command_context;
mod entries;
mod fence;
mod fingerprint;
mod job;
mod jobs;
mod reply;
mod rows;
mod snapshot;
#[allow(clippy::module_inception)] // each file is named after its type
mod state;
mod tombstones;
mod trail;

pub use change_replies::MAX_CHANGE_REPLIES;
pub use claim::{Claim, ClaimPhase};
pub use claims::{KEY_RETENTION_MS, MAX_ANSWER_BYTES, MAX_CLAIMS, MAX_ONE_ANSWER_BYTES};
pub use command::{Change, Command, CommandId, NewJob, RowChange};
pub use entries::{DEDUP_WINDOW_COMMANDS, EntryState};
pub use fence::Fence;
pub use fingerprint::{Fingerprint, scoped_key};
pub use job::{JobId, JobPhase, PatientJob};
pub use jobs::{JOB_RETENTION_MS, MAX_JOB_PART_BYTES, MAX_JOBS, MAX_JOBS_BYTES, STATUS_TOO_LARGE};
pub use reply::{ClaimReply, JobReply, Reply};
pub use rows::{MAX_REMOVED_ROWS, MAX_ROW_TRAIL_STEPS, RowStep};
pub use snapshot::{MAX_STATE_BYTES, SnapshotError};
pub use state::{State, Usage};
pub use tombstones::{MAX_TOMBSTONES, TOMBSTONE_RETENTION_MS};
pub use trail::{MAX_TRAIL_STEPS, Trail, TrailEvent, TrailStep};
