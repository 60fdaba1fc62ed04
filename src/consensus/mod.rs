//! The replicated log: a Raft-style consensus protocol among the entry instances
//! that have a data folder (the voters). Instances without one follow as learners.
//!
//! A [`Replica`] does no I/O. The driver passes every [`Input`] to it with the
//! current time and carries out every [`Action`] it returns; commands are opaque
//! bytes. One voter at a time is the leader: it orders the commands and commits
//! those that a quorum of the voters has synced to disk.

mod action;
mod bootstrap;
mod election;
mod entry;
mod follower;
mod input;
mod journal;
mod leader;
mod leadership_transfer;
mod log;
mod membership;
mod membership_changes;
mod message;
mod peers;
mod progress;
mod record;
mod recovered;
mod replica;
mod settings;
mod snapshot;
mod snapshots;
mod status;
mod status_queries;
mod voter_change;

pub use action::Action;
pub use election::TERM_STRIDE;
pub use entry::Entry;
pub use input::Input;
pub use leader::COMMAND_LIMIT_BYTES;
pub use membership::Membership;
pub use message::{Acked, Heartbeat, Message, Reply, ReplyOutcome, Timestamp, VoteRequest};
pub use record::{HardState, Record};
pub use recovered::Recovered;
pub use replica::Replica;
pub use settings::ReplicaSettings;
pub use snapshot::Snapshot;
pub use snapshots::SNAPSHOT_LIMIT_BYTES;
pub use status::{Role, Status, VoterState};
pub use voter_change::VoterChange;
