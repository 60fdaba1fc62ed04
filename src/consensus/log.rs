use std::collections::VecDeque;

use super::{Entry, Membership, Recovered, Snapshot};

/// The entries that are not compacted away, and the voters as they follow from
/// the log.
#[derive(Debug)]
pub(super) struct Log {
    /// The entry before the first kept one.
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Each membership with the index it counts from; never empty.
    memberships: Vec<(u64, Membership)>,
}

impl Log {
    pub(super) fn new(recovered: &mut Recovered) -> Self {
        let mut log = match &recovered.snapshot {
            Some(snapshot) => Self::after(snapshot),
            None => Self {
                base_index: 0,
                base_term: 0,
                entries: VecDeque::new(),
                memberships: vec![(0, Membership::default())],
            },
        };
        for entry in recovered.entries.drain(..) {
            log.push(entry);
        }
        log
    }

    /// An empty log after a snapshot.
    pub(super) fn after(snapshot: &Snapshot) -> Self {
        Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            memberships: vec![(snapshot.index, snapshot.membership.clone())],
        }
    }

    pub(super) fn base_index(&self) -> u64 {
        self.base_index
    }

    pub(super) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// The term of the entry at `index`; none if it is not in the log or compacted.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let place = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(place).ok()?)
    }

    /// Entries from `from` up to and with `to`.
    pub(super) fn range(&self, from: u64, to: u64) -> impl Iterator<Item = &Entry> {
        (from..=to).map_while(|index| self.get(index))
    }

    /// Entries from `from` on, at least one if there is any, up to `limit_bytes`.
    pub(super) fn batch(&self, from: u64, limit_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        self.range(from, self.last_index())
            .take_while(|entry| {
                let first = size == 0;
                size += entry.size_bytes();
                first || size <= limit_bytes
            })
            .cloned()
            .collect()
    }

    /// Adds an entry, in place of one at the same index and all after it.
    pub(super) fn push(&mut self, entry: Entry) {
        self.truncate(entry.index);
        if let Some(membership) = &entry.membership {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on; the voters are again those before it.
    pub(super) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base_index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.memberships.len() > 1 && self.membership_index() >= from {
            self.memberships.pop();
        }
    }

    /// Drops the entries up to and with `index`.
    pub(super) fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let drop = index - self.base_index;
        self.entries.drain(..usize::try_from(drop).unwrap_or(0));
        self.base_index = index;
        self.base_term = term;
        let kept = self.memberships.partition_point(|(from, _)| *from <= index);
        self.memberships.drain(..kept.saturating_sub(1));
    }

    /// The last index that can match a leader's log which has another entry, or
    /// none, at `index`.
    pub(super) fn before_conflict(&self, index: u64) -> u64 {
        if index > self.last_index() {
            return self.last_index();
        }
        let term = self.term_at(index);
        let mut at = index;
        while at > self.base_index && self.term_at(at) == term {
            at -= 1;
        }
        at
    }

    /// The voters that count now.
    pub(super) fn membership(&self) -> &Membership {
        let last = self.memberships.last();
        &last
            .expect("never emptied: truncate and compact keep one")
            .1
    }

    /// The index from which they count.
    pub(super) fn membership_index(&self) -> u64 {
        self.memberships.last().map_or(0, |(from, _)| *from)
    }

    /// The voters as of `index`, which must not be compacted away.
    pub(super) fn membership_at(&self, index: u64) -> &Membership {
        let later = self.memberships.partition_point(|(from, _)| *from <= index);
        &self.memberships[later.saturating_sub(1)].1
    }
}
