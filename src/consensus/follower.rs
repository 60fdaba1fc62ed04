//! The follower's side of log replication: accepting a leader, matching and appending
//! its entries, and replying to it.

use crate::model::EntryName;

use super::{Entry, Heartbeat, Message, Record, Replica, Reply, ReplyOutcome, Timestamp};

use rand::Rng;

impl Replica {
    pub(super) fn handle_append(
        &mut self,
        now_ms: u64,
        from: EntryName,
        beat: &Heartbeat,
        prev: (u64, u64),
        entries: Vec<Entry>,
    ) {
        if !self.accept_leader(now_ms, &from, beat) {
            return;
        }
        let outcome = match self.append_entries(prev, entries) {
            Some(index) => {
                self.advance_follower_commit(now_ms, beat, index);
                ReplyOutcome::Matched { index }
            }
            None => ReplyOutcome::Conflict {
                index: self.log.last_possible_match(prev.0).max(self.commit_index),
            },
        };
        self.reply(now_ms, from, beat, outcome);
    }

    /// Accepts the sender as leader and returns whether it did. A sender with an older
    /// term, or one that has resigned, is refused.
    pub(super) fn accept_leader(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        beat: &Heartbeat,
    ) -> bool {
        if beat.term < self.hard.term {
            self.reply(now_ms, from.clone(), beat, ReplyOutcome::Stale);
            return false;
        }
        // A message that the leader sent before it resigned. Treated as a heartbeat,
        // it would withhold this replica's vote for another election timeout.
        if self.resigned_term == Some(beat.term) {
            return false;
        }
        if beat.term > self.hard.term {
            self.enter_term(now_ms, beat.term);
        }
        self.become_follower(now_ms);
        self.leader = Some(from.clone());
        self.leader_heard_ms = Some(now_ms);
        self.check_acknowledged(beat);
        true
    }

    /// Takes a new incarnation if the log is shorter than what this data folder has
    /// acknowledged.
    ///
    /// A folder that was restored from a copy, or whose disk reported a sync that did
    /// not happen, lacks entries that were committed on its acknowledgement; with its
    /// vote, a leader without them could be elected. The leader tells each voter what
    /// it has acknowledged. The new incarnation has no vote until the leader has caught
    /// the replica up and changed the membership.
    fn check_acknowledged(&mut self, beat: &Heartbeat) {
        let Some(acked) = beat.acked else {
            return;
        };
        if self.incarnation == Some(acked.incarnation) && acked.index > self.log.last_index() {
            let incarnation = self.rng.random();
            self.incarnation = Some(incarnation);
            self.journal.write(Record::Identity { incarnation });
        }
    }

    /// Appends the entries if the log matches the leader's up to `prev`. Returns the
    /// last index up to which the logs match afterwards, or `None` on a conflict.
    fn append_entries(&mut self, prev: (u64, u64), entries: Vec<Entry>) -> Option<u64> {
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
            // Compacted entries are committed and therefore identical on all replicas.
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

    fn advance_follower_commit(&mut self, now_ms: u64, beat: &Heartbeat, matched: u64) {
        self.commit(beat.commit_index.min(matched));
        // The view lease is renewed only if the state has every entry that was committed
        // when the leader sent this message.
        let is_current = beat.commit_index <= matched.min(self.applied_index);
        let heard = beat.heard.filter(|h| h.start == self.start_id);
        if let Some(stamp) = heard.filter(|_| is_current) {
            self.view_confirmed_ms = self.view_confirmed_ms.max(Some(stamp.at_ms.min(now_ms)));
        }
    }

    /// Replies to the leader once everything that the reply acknowledges is durable.
    pub(super) fn reply(
        &mut self,
        now_ms: u64,
        to: EntryName,
        beat: &Heartbeat,
        outcome: ReplyOutcome,
    ) {
        let reply = Reply {
            term: self.hard.term,
            echo_ms: beat.sent_ms,
            stamp: Timestamp {
                start: self.start_id,
                at_ms: now_ms,
            },
            incarnation: self.incarnation,
            applied_index: self.applied_index,
            outcome,
        };
        self.send_after_sync(now_ms, to, Message::Reply(reply));
    }
}
