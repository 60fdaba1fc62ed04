//! Wake-ups ordered by time, at most one for each key.
//!
//! Load pattern: any. Without the index every event would scan all queues and
//! leases for expired ones, at a cost proportional to the fleet.

use std::collections::{BTreeMap, BTreeSet};

/// Wake-ups by key. Setting, clearing and taking one costs logarithmic time.
#[derive(Debug)]
pub(super) struct Timers<K> {
    due: BTreeSet<(u64, K)>,
    at_ms: BTreeMap<K, u64>,
}

impl<K: Ord + Copy> Timers<K> {
    pub(super) fn new() -> Self {
        Self {
            due: BTreeSet::new(),
            at_ms: BTreeMap::new(),
        }
    }

    /// Sets or replaces the wake-up of the key.
    pub(super) fn set(&mut self, key: K, at_ms: u64) {
        if let Some(old) = self.at_ms.insert(key, at_ms) {
            self.due.remove(&(old, key));
        }
        self.due.insert((at_ms, key));
    }

    /// Sets a wake-up unless an earlier one is pending.
    pub(super) fn set_earliest(&mut self, key: K, at_ms: u64) {
        if self.at_ms.get(&key).is_none_or(|&old| old > at_ms) {
            self.set(key, at_ms);
        }
    }

    pub(super) fn clear(&mut self, key: K) {
        if let Some(old) = self.at_ms.remove(&key) {
            self.due.remove(&(old, key));
        }
    }

    /// Removes and returns the next key whose wake-up is due.
    pub(super) fn pop_due(&mut self, now_ms: u64) -> Option<K> {
        let &(at, key) = self.due.first()?;
        if at > now_ms {
            return None;
        }
        self.due.pop_first();
        self.at_ms.remove(&key);
        Some(key)
    }

    pub(super) fn next_ms(&self) -> Option<u64> {
        self.due.first().map(|&(at, _)| at)
    }
}
