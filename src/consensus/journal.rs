use std::collections::VecDeque;

use super::{Action, Record};

/// Work held back until a write is synced.
#[derive(Debug)]
pub(super) enum Deferred {
    /// An action that reveals to peers what is being written.
    Action(Action),
    /// Counting the candidate's vote for itself in this term.
    OwnVote { term: u64 },
}

/// The write queue to the disk: batches records, keeps one write in flight, and holds
/// back everything that must not leave the replica before it is durable.
///
/// If an answer were sent before the sync, a crash could lose the vote or the
/// acknowledgement behind it: two leaders could share a term, or a committed entry
/// could vanish and an accepted row revert. Everything that depends on a record
/// therefore goes through [`Journal::after_sync`].
#[derive(Debug)]
pub(super) struct Journal {
    /// Without a data folder nothing is written and nothing is held back.
    diskless: bool,
    /// Records for the next write.
    pending: Vec<Record>,
    /// Token of the next write.
    next_token: u64,
    in_flight_token: Option<u64>,
    /// Held-back work, with the token of the write that it waits for.
    deferred: VecDeque<(u64, Deferred)>,
    /// Token of a write, with the last index of the log once that write is synced.
    last_indexes: VecDeque<(u64, u64)>,
    durable_index: u64,
}

impl Journal {
    pub(super) fn new(diskless: bool, durable_index: u64) -> Self {
        Self {
            diskless,
            pending: Vec::new(),
            next_token: 1,
            in_flight_token: None,
            deferred: VecDeque::new(),
            last_indexes: VecDeque::new(),
            durable_index,
        }
    }

    /// Returns the last synced index of the log. It may be too high while a write that
    /// replaces entries is in flight. That cannot be the case on a leader: it was
    /// elected with its own vote, which waited for all such writes.
    pub(super) fn durable_index(&self) -> u64 {
        self.durable_index
    }

    pub(super) fn write(&mut self, record: Record) {
        if self.diskless {
            return;
        }
        match &record {
            Record::Entry(entry) => self.set_last_index(entry.index),
            Record::Truncate { from } => {
                self.set_last_index(from.saturating_sub(1).min(self.written_index()))
            }
            Record::Snapshot(snapshot) => {
                self.set_last_index(snapshot.index.max(self.written_index()))
            }
            Record::Hard(_) | Record::Identity { .. } => {}
        }
        self.pending.push(record);
    }

    /// Holds the work back until all earlier records are synced; [`Journal::synced`]
    /// returns it then. Returns it immediately if nothing is waiting for a sync.
    pub(super) fn after_sync(&mut self, deferred: Deferred) -> Option<Deferred> {
        let token = if !self.pending.is_empty() {
            self.next_token
        } else if let Some(token) = self.in_flight_token {
            token
        } else {
            return Some(deferred);
        };
        self.deferred.push_back((token, deferred));
        None
    }

    /// Returns the next write, if there are pending records and no write is in flight.
    pub(super) fn flush(&mut self) -> Option<Action> {
        if self.in_flight_token.is_some() || self.pending.is_empty() {
            return None;
        }
        let token = self.next_token;
        self.next_token += 1;
        self.in_flight_token = Some(token);
        Some(Action::Persist {
            token,
            records: std::mem::take(&mut self.pending),
        })
    }

    /// Notes that the write with this token is synced and returns the work that waited
    /// for it.
    pub(super) fn synced(&mut self, token: u64) -> Vec<Deferred> {
        if self.in_flight_token != Some(token) {
            return Vec::new();
        }
        self.in_flight_token = None;
        let done = self.last_indexes.partition_point(|(t, _)| *t <= token);
        if let Some((_, index)) = self.last_indexes.drain(..done).next_back() {
            self.durable_index = index;
        }
        let ready = self.deferred.partition_point(|(t, _)| *t <= token);
        self.deferred
            .drain(..ready)
            .map(|(_, deferred)| deferred)
            .collect()
    }

    /// Returns the last index of the log once all writes are synced.
    fn written_index(&self) -> u64 {
        self.last_indexes
            .back()
            .map_or(self.durable_index, |(_, i)| *i)
    }

    fn set_last_index(&mut self, index: u64) {
        match self.last_indexes.back_mut() {
            Some((token, last)) if *token == self.next_token => *last = index,
            _ => self.last_indexes.push_back((self.next_token, index)),
        }
    }
}
