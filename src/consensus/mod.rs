//! The replicated log: our own agreement among the entry instances that have a
//! data folder (the voters), followed by those that have none (the learners).
//!
//! A replica is a plain object. The driver feeds it every [`Input`] with the
//! present time and carries out every [`Action`]; commands are opaque bytes. One
//! voter at a time leads: it orders the commands and commits those that a quorum
//! of the voters has synced.

mod action;
mod election;
mod entry;
mod following;
mod founding;
mod input;
mod journal;
mod leading;
mod log;
mod meeting;
mod membership;
mod message;
mod progress;
mod record;
mod recovered;
mod replica;
mod resigning;
mod settings;
mod snapshot;
mod snapshots;
mod status;
mod view;
mod voter_change;
mod voters;

pub use action::Action;
pub use entry::Entry;
pub use input::Input;
pub use leading::COMMAND_LIMIT_BYTES;
pub use membership::Membership;
pub use message::{Acked, Beat, Message, Reply, ReplyOutcome, Stamp, VoteRequest};
pub use record::{HardState, Record};
pub use recovered::Recovered;
pub use replica::Replica;
pub use settings::ReplicaSettings;
pub use snapshot::Snapshot;
pub use snapshots::SNAPSHOT_LIMIT_BYTES;
pub use status::{Role, Status, VoterState};
pub use voter_change::VoterChange;
