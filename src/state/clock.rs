use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

/// The replicated state's clock: the lower median of the times that the entry
/// instances put on their latest commands. It never goes back.
///
/// It decides when keys expire. If the state took the newest time instead, one
/// entry instance whose clock shows a wrong year would expire every key at
/// once, and a booking sent again would run twice. A minority of wrong clocks
/// cannot move the median beyond the right ones; an idle entry instance can
/// only hold it back, which keeps keys longer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Clock {
    last_times_ms: BTreeMap<EntryName, u64>,
    now_ms: u64,
}

impl Clock {
    /// Records the proposer's time and returns the state's time.
    pub fn advance(&mut self, entry: &EntryName, at_unix_ms: u64) -> u64 {
        self.last_times_ms.insert(entry.clone(), at_unix_ms);
        let mut times_ms: Vec<u64> = self.last_times_ms.values().copied().collect();
        times_ms.sort_unstable();
        let median_ms = times_ms[(times_ms.len() - 1) / 2];
        self.now_ms = self.now_ms.max(median_ms);
        self.now_ms
    }

    /// Excludes a lost entry instance from the median until its next command.
    pub fn remove(&mut self, entry: &EntryName) {
        self.last_times_ms.remove(entry);
    }
}
