//! Snapshots: taking them, compacting the log, and taking one in from a leader.

use std::sync::Arc;

use crate::model::EntryName;

use super::log::Log;
use super::{Action, Beat, Membership, Record, Replica, ReplyOutcome, Snapshot};

/// The largest snapshot. None above is taken in from a leader, so that a wrong
/// length can't ask for more memory than an entry instance has; so none above is
/// taken either, as it would reach nobody. The log then grows instead.
pub const SNAPSHOT_LIMIT_BYTES: usize = 64 << 20;

/// A snapshot that arrives piece by piece.
#[derive(Debug)]
pub(super) struct Incoming {
    index: u64,
    term: u64,
    membership: Membership,
    total_bytes: u64,
    data: Vec<u8>,
}

impl Incoming {
    pub(super) fn new(index: u64, term: u64, membership: Membership, total_bytes: u64) -> Self {
        Self {
            index,
            term,
            membership,
            total_bytes,
            data: Vec::new(),
        }
    }

    fn same(&self, other: &Self) -> bool {
        (self.index, self.term, self.total_bytes) == (other.index, other.term, other.total_bytes)
    }

    fn bytes(&self) -> u64 {
        self.data.len() as u64
    }

    /// Takes a piece in if it continues what is there.
    fn add(&mut self, offset_bytes: u64, data: &[u8]) {
        let room = self.total_bytes.saturating_sub(self.bytes());
        if offset_bytes == self.bytes() && data.len() as u64 <= room {
            self.data.extend_from_slice(data);
        }
    }
}

impl Replica {
    /// Asks for a snapshot if enough was applied since the last one.
    pub(super) fn consider_snapshot(&mut self) {
        if self.incarnation.is_none() {
            // Nobody asks a learner without a folder for entries.
            self.log.compact(self.applied_index);
            return;
        }
        let every = self.settings.snapshot_every;
        let last = self.snapshot.as_ref().map_or(0, |s| s.index);
        // One that came out too large counts as well. Else each entry that is applied asks
        // for the next, and encoding a state of that size takes longer than a leader may be
        // silent.
        let last = last.max(self.snapshot_asked_index);
        if every > 0 && !self.taking_snapshot && self.applied_index >= last + every {
            self.taking_snapshot = true;
            self.snapshot_asked_index = self.applied_index;
            self.out.push(Action::TakeSnapshot);
        }
    }

    pub(super) fn snapshot_taken(&mut self, index: u64, data: Vec<u8>) {
        self.taking_snapshot = false;
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
        // Some entries stay, so that a peer that is a little behind needs no
        // snapshot.
        let kept = self.settings.snapshot_every / 2;
        self.log.compact(index.saturating_sub(kept));
    }

    pub(super) fn chunk(
        &mut self,
        now_ms: u64,
        from: EntryName,
        beat: &Beat,
        head: Incoming,
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
            Some(incoming) if incoming.same(&head) => incoming,
            _ => head,
        };
        incoming.add(offset_bytes, data);
        let bytes = incoming.bytes();
        let outcome = if bytes == incoming.total_bytes {
            self.install(incoming);
            ReplyOutcome::Matched { index }
        } else {
            self.incoming = Some(incoming);
            ReplyOutcome::Received { index, bytes }
        };
        self.reply(now_ms, from, beat, outcome);
    }

    fn install(&mut self, incoming: Incoming) {
        let snapshot = Arc::new(Snapshot {
            index: incoming.index,
            term: incoming.term,
            membership: incoming.membership,
            data: incoming.data.into(),
        });
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.log.compact(snapshot.index);
        } else {
            // Entries after another history's can't be committed ones.
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

    /// Hands the snapshot's state to the driver.
    pub(super) fn restore_snapshot(&mut self) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let restore = Action::Restore {
            index: snapshot.index,
            data: snapshot.data.to_vec(),
        };
        self.out.push(restore);
        if self.incarnation.is_none() {
            // A learner without a folder keeps no second copy of the state.
            self.snapshot = None;
        }
    }
}
