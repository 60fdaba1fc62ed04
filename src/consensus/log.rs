use std::collections::VecDeque;

use super::{Entry, Membership, Recovered, Snapshot};

/// The entries after the compaction point, and the memberships that they define.
#[derive(Debug)]
pub(super) struct Log {
    /// Index of the last compacted entry; 0 if none is compacted.
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    /// Each membership with the index from which it is in force; never empty.
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

    /// Returns an empty log that continues after a snapshot.
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

    /// Returns the term of the entry at `index`, or `None` if the entry is compacted or
    /// not in the log.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns the entries from `from` up to and including `to`.
    pub(super) fn range(&self, from: u64, to: u64) -> impl Iterator<Item = &Entry> {
        (from..=to).map_while(|index| self.get(index))
    }

    /// Returns entries from `from` up to and including `to`, up to `limit_bytes` in total but
    /// at least one if there is any.
    pub(super) fn batch(&self, from: u64, to: u64, limit_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        self.range(from, to)
            .take_while(|entry| {
                let first = size == 0;
                size += entry.size_bytes();
                first || size <= limit_bytes
            })
            .cloned()
            .collect()
    }

    /// Adds an entry, replacing the entry at its index and all later ones.
    pub(super) fn push(&mut self, entry: Entry) {
        self.truncate(entry.index);
        if let Some(membership) = &entry.membership {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on, and the memberships that they defined.
    pub(super) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base_index + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        while self.memberships.len() > 1 && self.membership_index() >= from {
            self.memberships.pop();
        }
    }

    /// Removes the entries up to and including `index`.
    pub(super) fn compact(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        let count = index - self.base_index;
        self.entries.drain(..usize::try_from(count).unwrap_or(0));
        self.base_index = index;
        self.base_term = term;
        let kept = self.memberships.partition_point(|(from, _)| *from <= index);
        self.memberships.drain(..kept.saturating_sub(1));
    }

    /// Returns the last index that can match the leader's log when the entry at `index`
    /// is missing here or has another term there. It skips all entries of that term.
    pub(super) fn last_possible_match(&self, index: u64) -> u64 {
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

    /// Returns the membership in force.
    pub(super) fn membership(&self) -> &Membership {
        let last = self.memberships.last();
        &last
            .expect("truncate and compact always keep one membership")
            .1
    }

    /// Returns the index of the entry that defined the membership in force.
    pub(super) fn membership_index(&self) -> u64 {
        self.memberships.last().map_or(0, |(from, _)| *from)
    }

    /// Returns the membership as of `index`, which must not be compacted.
    pub(super) fn membership_at(&self, index: u64) -> &Membership {
        let later = self.memberships.partition_point(|(from, _)| *from <= index);
        &self.memberships[later.saturating_sub(1)].1
    }
}
