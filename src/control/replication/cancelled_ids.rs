use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::jobs::JobId;

/// The ids under which a job was cancelled that was not accepted by then, with the time of each
/// cancellation in milliseconds of Unix time.
///
/// The call that submits the job may still be on its way, in a process that stands still or
/// between instances. Its caller was told that there is no such job and relies on it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledIds {
    cancelled_unix_ms: BTreeMap<JobId, u64>,
}

impl CancelledIds {
    /// Largest number of ids that are kept: some 3 MB of memory, and 1 MB in a snapshot.
    pub const MAX: usize = 65_536;

    /// Returns whether a job with this id was cancelled before it was accepted.
    pub fn contains(&self, job: JobId) -> bool {
        self.cancelled_unix_ms.contains_key(&job)
    }

    /// Returns the number of ids.
    pub fn len(&self) -> usize {
        self.cancelled_unix_ms.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.cancelled_unix_ms.is_empty()
    }

    /// Adds an id, with the time of its latest cancellation.
    pub(super) fn add(&mut self, job: JobId, at_unix_ms: u64) {
        self.cancelled_unix_ms.insert(job, at_unix_ms);
    }

    /// Forgets the ids that were cancelled before a time, in milliseconds of Unix time.
    pub(super) fn forget(&mut self, before_unix_ms: u64) {
        self.cancelled_unix_ms.retain(|_, at| *at >= before_unix_ms);
    }
}
