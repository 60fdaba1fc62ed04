use crate::jobs::{Resources, RunResult};

/// A run on an emulated worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// When it began.
    pub began_ms: u64,
    /// How long it takes for a percent of its progress.
    pub percent_ms: u64,
    /// How it ends if nobody stops it.
    pub ending: RunResult,
    /// What it takes of the worker.
    pub demand: Resources,
}

impl RunningTask {
    /// How far it is, 0 to 99.
    pub fn percent(&self, now_ms: u64) -> u8 {
        ((now_ms - self.began_ms) / self.percent_ms).min(99) as u8
    }
}
