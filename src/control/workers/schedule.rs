use std::collections::BTreeMap;

use crate::model::InstanceName;

/// Length of the intervals into which due times are sorted. It delays what is due by half of it
/// in the mean, a fraction of a tick.
const INTERVAL_MS: u64 = 5;

/// The times at which workers have to be looked at, in intervals.
///
/// An entry is not removed if its worker is due later than it says: when the entry is taken,
/// its owner adds the worker again. So a worker costs an entry for each time that it is due,
/// and none while nothing happens.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    intervals: BTreeMap<u64, Vec<InstanceName>>,
}

impl Schedule {
    /// Adds a worker, and returns the time at which it will be taken at the latest.
    pub(super) fn add(&mut self, due_ms: u64, worker: &InstanceName) -> u64 {
        let interval = due_ms.div_ceil(INTERVAL_MS);
        self.intervals
            .entry(interval)
            .or_default()
            .push(worker.clone());
        interval * INTERVAL_MS
    }

    /// Takes the workers that are due.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<InstanceName> {
        let mut due = Vec::new();
        while let Some(entry) = self.intervals.first_entry()
            && entry.key() * INTERVAL_MS <= now_ms
        {
            due.append(&mut entry.remove());
        }
        due
    }
}
