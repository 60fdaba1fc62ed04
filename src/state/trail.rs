use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

use super::Fence;

/// Steps kept of one key or job. A healthy one has three; twelve still show
/// the last attempts of one that is tried over and over.
pub const TRAIL_STEPS: usize = 12;

/// What happened to one key or job, for `explain`; the oldest steps go first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    steps: VecDeque<TrailStep>,
    dropped: u64,
}

/// One step of a trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrailStep {
    /// When, in milliseconds of Unix time as the proposer saw it.
    pub at_unix_ms: u64,
    /// The entry instance that proposed it.
    pub by: EntryName,
    /// The fence it was under.
    pub fence: Fence,
    /// What happened.
    pub event: TrailEvent,
}

/// What happened to a key or job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum TrailEvent {
    /// A key was granted.
    #[display("granted")]
    Granted,
    /// A job was taken in.
    #[display("accepted")]
    Accepted,
    /// A job was given to an entry instance.
    #[display("assigned")]
    Assigned,
    /// An attempt left a checkpoint.
    #[display("checkpoint")]
    Checkpoint,
    /// It finished.
    #[display("answered")]
    Answered,
    /// An attempt certainly did not run.
    #[display("not-run")]
    NotRun,
    /// Nobody knows whether an attempt ran.
    #[display("lost")]
    Lost,
    /// The entry instance that had it is gone.
    #[display("entry-lost")]
    EntryLost,
    /// It can never run.
    #[display("refused")]
    Refused,
    /// The caller cancelled it before its start.
    #[display("cancelled")]
    Cancelled,
}

impl Trail {
    /// Adds a step; the oldest is dropped over [`TRAIL_STEPS`].
    pub(super) fn push(&mut self, step: TrailStep) {
        if self.steps.len() == TRAIL_STEPS {
            self.steps.pop_front();
            self.dropped += 1;
        }
        self.steps.push_back(step);
    }

    /// The steps, oldest first.
    pub fn steps(&self) -> impl Iterator<Item = &TrailStep> {
        self.steps.iter()
    }

    /// Steps that are no longer kept.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
