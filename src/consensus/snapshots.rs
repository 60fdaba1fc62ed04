//! Snapshots: taking them, compacting the log, and installing one from a leader.

use std::sync::Arc;

use crate::model::EntryName;

use super::log::Log;
use super::{Action, Heartbeat, Membership, Record, Replica, ReplyOutcome, Snapshot};

/// The largest snapshot, in bytes. A larger one from a leader is refused, so that a wrong
/// length cannot exhaust the memory of an entry instance. A larger one is not taken
/// either, because no peer would accept it; the log grows instead.
pub const SNAPSHOT_LIMIT_BYTES: usize = 64 << 20;

/// A snapshot that arrives in chunks.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    index: u64,
    term: u64,
    membership: Membership,
    total_bytes: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    pub(super) fn new(index: u64, term: u64, membership: Membership, total_bytes: u64) -> Self {
        Self {
            index,
            term,
            membership,
            total_bytes,
            data: Vec::new(),
        }
    }

    fn is_same_snapshot(&self, other: &Self) -> bool {
        (self.index, self.term, self.total_bytes) == (other.index, other.term, other.total_bytes)
    }

    fn received_bytes(&self) -> u64 {
        self.data.len() as u64
    }

    /// Appends a chunk if it follows directly on the bytes received so far.
    fn push_chunk(&mut self, offset_bytes: u64, data: &[u8]) {
        let remaining = self.total_bytes.saturating_sub(self.received_bytes());
        if offset_bytes == self.received_bytes() && data.len() as u64 <= remaining {
            self.data.extend_from_slice(data);
        }
    }
}

impl Replica {
    /// Requests a snapshot if enough entries were applied since the last one.
    pub(super) fn request_snapshot_if_due(&mut self) {
        if self.incarnation.is_none() {
            // A learner without a data folder never sends entries to others.
            self.log.compact(self.applied_index);
            return;
        }
        let every = self.settings.snapshot_every;
        let last = self.snapshot.as_ref().map_or(0, |s| s.index);
        // A snapshot that turned out too large counts as well. Otherwise each applied entry
        // would request another one, and encoding a state of that size takes longer than
        // a leader may be silent.
        let last = last.max(self.snapshot_requested_index);
        if every > 0 && !self.snapshot_pending && self.applied_index >= last + every {
            self.snapshot_pending = true;
            self.snapshot_requested_index = self.applied_index;
            self.actions.push(Action::TakeSnapshot);
        }
    }

    pub(super) fn handle_snapshot_taken(&mut self, index: u64, data: Vec<u8>) {
        self.snapshot_pending = false;
        let last = self.snapshot.as_ref().map_or(0, |s| s.index);
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let too_large = data.len() > SNAPSHOT_LIMIT_BYTES;
        if too_large {
            tracing::error!(
                index,
                bytes = data.len(),
                "consensus: the state is too large for a snapshot"
            );
            return;
        }
        if index <= last || index > self.applied_index {
            return;
        }
        let snapshot = Arc::new(Snapshot {
            index,
            term,
            membership: self.log.membership_at(index).clone(),
            data: data.into(),
        });
        self.journal.write(Record::Snapshot(snapshot.clone()));
        self.snapshot = Some(snapshot);
        // Keeps some entries, so that a peer that is slightly behind needs no snapshot.
        let kept = self.settings.snapshot_every / 2;
        self.log.compact(index.saturating_sub(kept));
    }

    pub(super) fn handle_chunk(
        &mut self,
        now_ms: u64,
        from: EntryName,
        beat: &Heartbeat,
        head: IncomingSnapshot,
        offset_bytes: u64,
        data: &[u8],
    ) {
        if !self.accept_leader(now_ms, &from, beat) {
            return;
        }
        let index = head.index;
        if index <= self.commit_index {
            self.incoming = None;
            let outcome = ReplyOutcome::Matched { index };
            return self.reply(now_ms, from, beat, outcome);
        }
        if head.total_bytes > SNAPSHOT_LIMIT_BYTES as u64 {
            return;
        }
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.is_same_snapshot(&head) => incoming,
            _ => head,
        };
        incoming.push_chunk(offset_bytes, data);
        let bytes = incoming.received_bytes();
        let outcome = if bytes == incoming.total_bytes {
            self.install_snapshot(incoming);
            ReplyOutcome::Matched { index }
        } else {
            self.incoming = Some(incoming);
            ReplyOutcome::Received { index, bytes }
        };
        self.reply(now_ms, from, beat, outcome);
    }

    fn install_snapshot(&mut self, incoming: IncomingSnapshot) {
        let snapshot = Arc::new(Snapshot {
            index: incoming.index,
            term: incoming.term,
            membership: incoming.membership,
            data: incoming.data.into(),
        });
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.log.compact(snapshot.index);
        } else {
            // Entries that follow a conflicting history cannot be committed.
            let from = snapshot.index.saturating_add(1);
            if self.log.last_index() >= from {
                self.journal.write(Record::Truncate { from });
            }
            self.log = Log::after(&snapshot);
        }
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        if self.incarnation.is_some() {
            self.journal.write(Record::Snapshot(snapshot.clone()));
        }
        self.snapshot = Some(snapshot);
        self.restore_snapshot();
    }

    /// Asks the driver to restore the state from the snapshot.
    pub(super) fn restore_snapshot(&mut self) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let restore = Action::Restore {
            index: snapshot.index,
            data: snapshot.data.to_vec(),
        };
        self.actions.push(restore);
        if self.incarnation.is_none() {
            // A learner without a data folder keeps no second copy of the state.
            self.snapshot = None;
        }
    }
}
