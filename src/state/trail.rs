use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

use super::Fence;

/// Largest number of steps kept of one key or job. An ordinary one has three;
/// twelve still show the last attempts of one that is retried many times.
pub const MAX_TRAIL_STEPS: usize = 12;

/// Audit trail of one key or job, for the `explain` command. Over
/// [`MAX_TRAIL_STEPS`] the oldest steps are dropped first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    steps: VecDeque<TrailStep>,
    dropped: u64,
}

/// One step of a trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrailStep {
    /// Time of the step on the proposer's clock, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// The entry instance that proposed it.
    pub by: EntryName,
    /// The fence of the attempt.
    pub fence: Fence,
    /// The event.
    pub event: TrailEvent,
}

/// An event in the life of a key or job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum TrailEvent {
    /// A claim on the key was granted.
    #[display("granted")]
    Granted,
    /// The job was accepted.
    #[display("accepted")]
    Accepted,
    /// The job was assigned to an entry instance.
    #[display("assigned")]
    Assigned,
    /// An attempt stored a checkpoint.
    #[display("checkpoint")]
    Checkpoint,
    /// The attempt finished and its answer was stored.
    #[display("answered")]
    Answered,
    /// The attempt certainly did not run.
    #[display("not-run")]
    NotRun,
    /// The attempt may have run.
    #[display("lost")]
    Lost,
    /// The entry instance that ran the attempt was lost.
    #[display("entry-lost")]
    EntryLost,
    /// The job was refused because it can never run.
    #[display("refused")]
    Refused,
    /// The caller cancelled the job before an attempt started.
    #[display("cancelled")]
    Cancelled,
}

impl Trail {
    /// Adds a step and drops the oldest one over [`MAX_TRAIL_STEPS`].
    pub(super) fn push(&mut self, step: TrailStep) {
        if self.steps.len() == MAX_TRAIL_STEPS {
            self.steps.pop_front();
            self.dropped += 1;
        }
        self.steps.push_back(step);
    }

    /// The steps kept, oldest first.
    pub fn steps(&self) -> impl Iterator<Item = &TrailStep> {
        self.steps.iter()
    }

    /// The number of steps that were dropped.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
