use serde::{Deserialize, Serialize};

use crate::control::{Phase, Report};

/// An incarnation of a worker in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker's first report; only the phase is updated afterwards.
    pub report: Report,
    /// Whether the worker has announced that it stops. Its runs may continue for a while.
    pub leaving: bool,
}

impl Worker {
    /// Returns whether the worker may be given work.
    pub fn takes_work(&self) -> bool {
        !self.leaving && self.report.phase == Phase::Ready
    }
}
