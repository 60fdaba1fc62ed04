//! Weighted fair order by virtual time.
//!
//! Pattern of load: a few callers or teams send most of the requests. Without
//! it the queue is served in the order of arrival, and whoever sends 90 % of the
//! requests gets 90 % of the slots while all others wait behind it.
//!
//! Each key has a tag, the virtual time at which its next request may start; the
//! lowest tag goes next. Serving a key raises its tag by `QUANTUM / weight`, and
//! the virtual present by `QUANTUM / sum of the weights that wait`. A key that
//! starts to wait gets the present as its tag unless its own is later, so a key
//! cannot shed what it was served by leaving the queue for a moment, and idleness
//! earns no credit.

use std::collections::{BTreeMap, BTreeSet};

/// Virtual time of one request at weight 1. Large enough that division by a
/// weight of 100 or by thousands of waiting keys loses nothing that matters;
/// small enough that a `u64` lasts for 10^12 requests.
const QUANTUM: u64 = 1 << 24;

/// Keys in the order in which they are to be served.
#[derive(Debug)]
pub(super) struct FairOrder<K> {
    entries: BTreeMap<K, Entry>,
    waiting: BTreeSet<(u64, u64, K)>,
    idle: BTreeSet<(u64, K)>,
    present: u64,
    weight_sum: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tag: u64,
    /// Orders keys of equal tags by who came first: a tie broken by name would
    /// starve the last name for as long as new callers arrive.
    seq: u64,
    weight: u32,
    waits: bool,
}

impl<K: Ord + Clone> FairOrder<K> {
    pub(super) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            waiting: BTreeSet::new(),
            idle: BTreeSet::new(),
            present: 0,
            weight_sum: 0,
        }
    }

    /// The key has something waiting from now on; no-op if it had already.
    pub(super) fn wait(&mut self, key: &K, weight: u32, seq: u64) {
        let present = self.present;
        let entry = self.entries.entry(key.clone()).or_insert(Entry {
            tag: present,
            seq,
            weight: 1,
            waits: false,
        });
        if entry.waits {
            return;
        }
        self.idle.remove(&(entry.tag, key.clone()));
        *entry = Entry {
            tag: entry.tag.max(present),
            seq,
            weight: weight.max(1),
            waits: true,
        };
        self.weight_sum += u64::from(entry.weight);
        self.waiting.insert((entry.tag, seq, key.clone()));
    }

    /// The key has nothing waiting any more.
    pub(super) fn leave(&mut self, key: &K) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.waits) else {
            return;
        };
        entry.waits = false;
        self.weight_sum -= u64::from(entry.weight);
        self.waiting.remove(&(entry.tag, entry.seq, key.clone()));
        self.idle.insert((entry.tag, key.clone()));
        self.forget_old();
    }

    /// Charges one served request to a key that waits.
    pub(super) fn charge(&mut self, key: &K) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.waits) else {
            return;
        };
        self.waiting.remove(&(entry.tag, entry.seq, key.clone()));
        entry.tag += QUANTUM / u64::from(entry.weight);
        self.waiting.insert((entry.tag, entry.seq, key.clone()));
        self.present += QUANTUM / self.weight_sum.max(1);
        if let Some(&(lowest, ..)) = self.waiting.first() {
            self.present = self.present.max(lowest);
        }
        self.forget_old();
    }

    /// Waiting keys, the next one first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &K> {
        self.waiting.iter().map(|(_, _, key)| key)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// How many requests go by for each one of a key of this weight, counting
    /// the key itself as waiting.
    pub(super) fn rivals(&self, key: &K, weight: u32) -> f64 {
        let weight = u64::from(weight.max(1));
        let waits = self.entries.get(key).is_some_and(|e| e.waits);
        let sum = self.weight_sum + if waits { 0 } else { weight };
        sum as f64 / weight as f64
    }

    /// A tag in the past means nothing any more: the key may be forgotten, which
    /// bounds memory by the keys served within one round.
    fn forget_old(&mut self) {
        while let Some((tag, _)) = self.idle.first() {
            if *tag > self.present {
                return;
            }
            if let Some((_, key)) = self.idle.pop_first() {
                self.entries.remove(&key);
            }
        }
    }
}
