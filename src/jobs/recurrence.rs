use serde::{Deserialize, Serialize};

/// When the occurrences of a recurring job are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// The number of occurrences.
    pub times: u32,
    /// When the first occurrence is due, in milliseconds of Unix time.
    pub start_unix_ms: u64,
    /// Time from one due time to the next, in milliseconds.
    pub interval_ms: u64,
}

impl Recurrence {
    /// When an occurrence is due, in milliseconds of Unix time.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let offset_ms = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.start_unix_ms.saturating_add(offset_ms)
    }
}
