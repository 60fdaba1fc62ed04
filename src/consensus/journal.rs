use std::collections::VecDeque;

use super::{Action, Record};

/// What waits for a write to be synced.
#[derive(Debug)]
pub(super) enum Waiting {
    /// An action that tells others of what is being written.
    Act(Action),
    /// The candidate's own vote in this term.
    OwnVote { term: u64 },
}

/// The way to the disk: collects records, keeps one write under way, and holds
/// back what must not be said before it is durable.
///
/// An answer sent before the sync is a promise that a crash takes back: the voter
/// forgets its vote or its acknowledgement, two leaders share a term or a
/// committed entry vanishes, and an accepted row reverts. Everything that depends
/// on a record goes through [`Journal::after_sync`].
#[derive(Debug)]
pub(super) struct Journal {
    /// Without a data folder nothing is written and nothing waits.
    diskless: bool,
    collecting: Vec<Record>,
    /// The token of the write that is being collected.
    next_token: u64,
    under_way: Option<u64>,
    waiting: VecDeque<(u64, Waiting)>,
    /// The log's last index once the write with the token is synced.
    reaches: VecDeque<(u64, u64)>,
    durable_index: u64,
}

impl Journal {
    pub(super) fn new(diskless: bool, durable_index: u64) -> Self {
        Self {
            diskless,
            collecting: Vec::new(),
            next_token: 1,
            under_way: None,
            waiting: VecDeque::new(),
            reaches: VecDeque::new(),
            durable_index,
        }
    }

    /// The last index of the log that is synced. While a write is under way that
    /// replaces entries it may be too high; a leader was elected by its own vote,
    /// which waited for all such writes.
    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    pub(super) fn write(&mut self, record: Record) {
        if self.diskless {
            return;
        }
        match &record {
            Record::Entry(entry) => self.reach(entry.index),
            Record::Truncate { from } => self.reach(from.saturating_sub(1).min(self.reached())),
            Record::Snapshot(snapshot) => self.reach(snapshot.index.max(self.reached())),
            Record::Hard(_) | Record::Identity { .. } => {}
        }
        self.collecting.push(record);
    }

    /// Returns the action once all that was written before it is synced: at once
    /// if it is, else from [`Journal::synced`].
    pub(super) fn after_sync(&mut self, what: Waiting) -> Option<Waiting> {
        let token = if !self.collecting.is_empty() {
            self.next_token
        } else if let Some(token) = self.under_way {
            token
        } else {
            return Some(what);
        };
        self.waiting.push_back((token, what));
        None
    }

    /// The next write, if there is one and none is under way.
    pub(super) fn flush(&mut self) -> Option<Action> {
        if self.under_way.is_some() || self.collecting.is_empty() {
            return None;
        }
        let token = self.next_token;
        self.next_token += 1;
        self.under_way = Some(token);
        Some(Action::Persist {
            token,
            records: std::mem::take(&mut self.collecting),
        })
    }

    /// The write with the token is synced; returns what waited for it.
    pub(super) fn synced(&mut self, token: u64) -> Vec<Waiting> {
        if self.under_way != Some(token) {
            return Vec::new();
        }
        self.under_way = None;
        let done = self.reaches.partition_point(|(t, _)| *t <= token);
        if let Some((_, index)) = self.reaches.drain(..done).next_back() {
            self.durable_index = index;
        }
        let ready = self.waiting.partition_point(|(t, _)| *t <= token);
        self.waiting.drain(..ready).map(|(_, what)| what).collect()
    }

    /// The index reached when all writes are synced.
    fn reached(&self) -> u64 {
        self.reaches.back().map_or(self.durable_index, |(_, i)| *i)
    }

    fn reach(&mut self, index: u64) {
        match self.reaches.back_mut() {
            Some((token, reached)) if *token == self.next_token => *reached = index,
            _ => self.reaches.push_back((self.next_token, index)),
        }
    }
}
