use crate::model::EntryName;

use super::{Fence, TrailEvent, TrailStep};

/// The proposer and the times of the command that is being applied.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommandContext<'a> {
    /// The proposer.
    pub entry: &'a EntryName,
    /// The proposer's incarnation.
    pub incarnation: u64,
    /// The proposer's clock, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// The state's clock, in milliseconds of Unix time.
    pub clock_ms: u64,
}

impl CommandContext<'_> {
    /// Returns a trail step for an event that this command causes.
    pub fn trail_step(&self, fence: Fence, event: TrailEvent) -> TrailStep {
        TrailStep {
            at_unix_ms: self.at_unix_ms,
            by: self.entry.clone(),
            fence,
            event,
        }
    }
}
