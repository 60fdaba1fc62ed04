//! What a replica does with its leader's entries.

use crate::model::EntryName;

use super::{Beat, Entry, Message, Record, Replica, Reply, ReplyOutcome, Stamp};

use rand::Rng;

impl Replica {
    pub(super) fn append(
        &mut self,
        now_ms: u64,
        from: EntryName,
        beat: &Beat,
        prev: (u64, u64),
        entries: Vec<Entry>,
    ) {
        if !self.accept_leader(now_ms, &from, beat) {
            return;
        }
        let outcome = match self.match_entries(prev, entries) {
            Some(index) => {
                self.follow_commit(now_ms, beat, index);
                ReplyOutcome::Matched { index }
            }
            None => ReplyOutcome::Conflict {
                index: self.log.before_conflict(prev.0).max(self.commit_index),
            },
        };
        self.reply(now_ms, from, beat, outcome);
    }

    /// Takes the sender for its leader, unless its term is over.
    pub(super) fn accept_leader(&mut self, now_ms: u64, from: &EntryName, beat: &Beat) -> bool {
        if beat.term < self.hard.term {
            self.reply(now_ms, from.clone(), beat, ReplyOutcome::Stale);
            return false;
        }
        // What the leader sent before it resigned comes late: taken for a sign of
        // life it would bind this vote for another election timeout.
        if self.resigned_term == Some(beat.term) {
            return false;
        }
        if beat.term > self.hard.term {
            self.enter_term(now_ms, beat.term);
        }
        self.become_follower(now_ms);
        self.leader = Some(from.clone());
        self.heard_ms = Some(now_ms);
        self.check_acked(beat);
        true
    }

    /// Gives up its identity if its folder holds less than it acknowledged.
    ///
    /// A folder put back from a copy, or one whose disk lied about a sync, lacks
    /// entries that were committed by its word; with its vote a leader without
    /// them could be elected. The leader tells each voter what it acknowledged;
    /// one that holds less takes a new incarnation, which counts for nothing
    /// until the leader has caught it up and changed the membership.
    fn check_acked(&mut self, beat: &Beat) {
        let Some(acked) = beat.acked else {
            return;
        };
        if self.incarnation == Some(acked.incarnation) && acked.index > self.log.last_index() {
            let incarnation = self.rng.random();
            self.incarnation = Some(incarnation);
            self.journal.write(Record::Identity { incarnation });
        }
    }

    /// Takes the entries in if the log equals the leader's before them; returns
    /// the last index up to which it then does.
    fn match_entries(&mut self, prev: (u64, u64), entries: Vec<Entry>) -> Option<u64> {
        let (prev_index, prev_term) = prev;
        let base = self.log.base_index();
        if prev_index >= base && self.log.term_at(prev_index) != Some(prev_term) {
            return None;
        }
        let mut last = prev_index;
        for entry in entries {
            if entry.index != last.saturating_add(1) {
                return None;
            }
            last = entry.index;
            // What is compacted is committed and so the same everywhere.
            if entry.index <= base || self.log.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.commit_index {
                return None;
            }
            self.journal.write(Record::Entry(entry.clone()));
            self.log.push(entry);
        }
        Some(last.max(base))
    }

    fn follow_commit(&mut self, now_ms: u64, beat: &Beat, matched: u64) {
        self.commit_index = self.commit_index.max(beat.commit_index.min(matched));
        self.apply();
        // The view counts as confirmed only if it holds all that was committed
        // when the leader sent this.
        let heard = beat.heard.filter(|h| h.start == self.start);
        if let Some(stamp) = heard.filter(|_| beat.commit_index <= matched) {
            self.confirmed_ms = self.confirmed_ms.max(Some(stamp.at_ms.min(now_ms)));
        }
    }

    /// Answers the leader, once what the answer tells is durable.
    pub(super) fn reply(&mut self, now_ms: u64, to: EntryName, beat: &Beat, outcome: ReplyOutcome) {
        let reply = Reply {
            term: self.hard.term,
            echo_ms: beat.sent_ms,
            stamp: Stamp {
                start: self.start,
                at_ms: now_ms,
            },
            incarnation: self.incarnation,
            applied_index: self.applied_index,
            outcome,
        };
        self.send_after_sync(now_ms, to, Message::Reply(reply));
    }
}
