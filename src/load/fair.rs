//! Weighted fair queueing by virtual time.
//!
//! Load pattern: a few callers or teams send most of the requests. In a queue
//! ordered by arrival, whoever sends 90 % of the requests gets 90 % of the
//! slots, and all others wait behind.
//!
//! Each key has a tag, the virtual time at which its next request may start;
//! the lowest tag is served next. Serving a key raises its tag by `REQUEST_COST
//! / weight`, and the virtual time by `REQUEST_COST / sum of the weights of all
//! waiting keys`. A key that becomes active gets the later of the current
//! virtual time and its own tag. It therefore cannot drop its usage by leaving
//! the queue for a moment, and idle time earns no credit.

use std::collections::{BTreeMap, BTreeSet};

/// Virtual time of one request at weight 1. It is large enough that dividing it by a
/// weight of 100 or by thousands of waiting keys loses no relevant precision, and small
/// enough that a `u64` lasts for 10^12 requests.
const REQUEST_COST: u64 = 1 << 24;

/// Keys in the order in which they are served.
#[derive(Debug)]
pub(super) struct FairOrder<K> {
    entries: BTreeMap<K, Entry>,
    waiting: BTreeSet<(u64, u64, K)>,
    idle: BTreeSet<(u64, K)>,
    virtual_time: u64,
    weight_sum: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tag: u64,
    /// Breaks ties between equal tags by arrival. Breaking them by name would starve
    /// the last name for as long as new callers arrive.
    seq: u64,
    weight: u32,
    is_waiting: bool,
}

impl<K: Ord + Clone> FairOrder<K> {
    pub(super) fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            waiting: BTreeSet::new(),
            idle: BTreeSet::new(),
            virtual_time: 0,
            weight_sum: 0,
        }
    }

    /// Marks the key as waiting. Does nothing if it already is.
    pub(super) fn activate(&mut self, key: &K, weight: u32, seq: u64) {
        let virtual_time = self.virtual_time;
        let entry = self.entries.entry(key.clone()).or_insert(Entry {
            tag: virtual_time,
            seq,
            weight: 1,
            is_waiting: false,
        });
        if entry.is_waiting {
            return;
        }
        self.idle.remove(&(entry.tag, key.clone()));
        *entry = Entry {
            tag: entry.tag.max(virtual_time),
            seq,
            weight: weight.max(1),
            is_waiting: true,
        };
        self.weight_sum += u64::from(entry.weight);
        self.waiting.insert((entry.tag, seq, key.clone()));
    }

    /// Marks the key as no longer waiting.
    pub(super) fn deactivate(&mut self, key: &K) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.is_waiting) else {
            return;
        };
        entry.is_waiting = false;
        self.weight_sum -= u64::from(entry.weight);
        self.waiting.remove(&(entry.tag, entry.seq, key.clone()));
        self.idle.insert((entry.tag, key.clone()));
        self.evict_expired();
    }

    /// Charges a waiting key for one served request.
    pub(super) fn charge(&mut self, key: &K) {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.is_waiting) else {
            return;
        };
        self.waiting.remove(&(entry.tag, entry.seq, key.clone()));
        entry.tag += REQUEST_COST / u64::from(entry.weight);
        self.waiting.insert((entry.tag, entry.seq, key.clone()));
        self.virtual_time += REQUEST_COST / self.weight_sum.max(1);
        if let Some(&(lowest, ..)) = self.waiting.first() {
            self.virtual_time = self.virtual_time.max(lowest);
        }
        self.evict_expired();
    }

    /// Returns the waiting keys, the next one first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &K> {
        self.waiting.iter().map(|(_, _, key)| key)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how many requests are served for each one of a key of this weight,
    /// counting the key itself as waiting.
    pub(super) fn contention_factor(&self, key: &K, weight: u32) -> f64 {
        let weight = u64::from(weight.max(1));
        let is_waiting = self.entries.get(key).is_some_and(|e| e.is_waiting);
        let sum = self.weight_sum + if is_waiting { 0 } else { weight };
        sum as f64 / weight as f64
    }

    /// Evicts idle keys whose tag lies in the past, since it no longer affects the
    /// order. This bounds memory to the keys served within one round.
    fn evict_expired(&mut self) {
        while let Some((tag, _)) = self.idle.first() {
            if *tag > self.virtual_time {
                return;
            }
            if let Some((_, key)) = self.idle.pop_first() {
                self.entries.remove(&key);
            }
        }
    }
}
