use serde::{Deserialize, Serialize};

use super::{Phase, Report};

/// A worker's incarnation as the replicated state knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// What it said when it was taken in; only the phase changes after that.
    pub report: Report,
    /// Whether it said that it ends; its runs may go on for a while.
    pub leaving: bool,
}

impl Worker {
    /// Whether it may be given work.
    pub fn takes_work(&self) -> bool {
        !self.leaving && self.report.phase == Phase::Ready
    }
}
