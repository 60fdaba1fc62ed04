use crate::model::EntryName;

use super::{Fence, TrailEvent, TrailStep};

/// Who proposed a command and when, as the parts of the state see it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stamp<'a> {
    /// The proposer.
    pub entry: &'a EntryName,
    /// The proposer's start.
    pub incarnation: u64,
    /// The proposer's clock, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// The state's clock, in milliseconds of Unix time.
    pub clock_ms: u64,
}

impl Stamp<'_> {
    /// A trail step of this command.
    pub fn step(&self, fence: Fence, event: TrailEvent) -> TrailStep {
        TrailStep {
            at_unix_ms: self.at_unix_ms,
            by: self.entry.clone(),
            fence,
            event,
        }
    }
}
