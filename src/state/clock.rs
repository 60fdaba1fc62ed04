use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::EntryName;

/// The state's own clock: the lower median of what the entry instances' clocks
/// showed with their last commands, never going back.
///
/// It decides when keys are forgotten. Were it the newest clock heard, one
/// entry instance with a wrong year would make the state forget every key at
/// once, and a booking sent again would run twice. A minority of wrong clocks
/// cannot move the median beyond the right ones; an idle entry instance can
/// only hold it back, which keeps keys longer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Clock {
    shown: BTreeMap<EntryName, u64>,
    now_ms: u64,
}

impl Clock {
    /// Takes in what the proposer's clock shows and gives the state's time.
    pub fn advance(&mut self, entry: &EntryName, at_unix_ms: u64) -> u64 {
        self.shown.insert(entry.clone(), at_unix_ms);
        let mut times: Vec<u64> = self.shown.values().copied().collect();
        times.sort_unstable();
        let median = times[(times.len() - 1) / 2];
        self.now_ms = self.now_ms.max(median);
        self.now_ms
    }

    /// Leaves a lost entry instance's clock out from now on.
    pub fn forget(&mut self, entry: &EntryName) {
        self.shown.remove(entry);
    }
}
