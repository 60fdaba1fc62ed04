//! How a leader is elected.
//!
//! A voter that hears no leader first asks whether it would be elected
//! (pre-vote), which changes nothing anywhere, and only then enters the next term
//! and asks for votes that bind. A voter refuses both while it hears a leader.

use std::collections::BTreeSet;

use crate::model::EntryName;

use super::journal::Waiting;
use super::replica::Part;
use super::{Message, Record, Replica, VoteRequest};

impl Replica {
    pub(super) fn tick_election(&mut self, now_ms: u64) {
        if now_ms < self.election_ms || self.hears_leader(now_ms) {
            return;
        }
        if self.is_voter() {
            self.campaign(now_ms, true);
        } else {
            self.rest(now_ms);
        }
    }

    /// Asks all other voters for their votes, or with `pre` whether they would
    /// give them.
    ///
    /// Without the question first, a voter cut off alone counts terms up and on
    /// its return deposes the healthy leader with its higher term: callers see
    /// changes stall for an election although nothing was wrong. It can't win the
    /// question while the others hear a leader, so its term stays.
    pub(super) fn campaign(&mut self, now_ms: u64, pre: bool) {
        if !pre {
            self.enter_term(now_ms, self.hard.term.saturating_add(1));
            self.hard.voted_for = Some(self.settings.me.clone());
            self.journal.write(Record::Hard(self.hard.clone()));
        }
        self.rest(now_ms);
        self.part = Part::Candidate {
            pre,
            granted: BTreeSet::new(),
        };
        let term = self.hard.term.saturating_add(u64::from(pre));
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let voters = self.log.membership().without(&self.settings.me);
        for (name, counted_as) in voters.iter() {
            let message = Message::Vote(VoteRequest {
                term,
                pre,
                last_index,
                last_term,
                counted_as,
            });
            // Only after the sync: a candidate that forgets its term in a crash
            // could win it twice, with another log the second time.
            self.send_after_sync(now_ms, name.clone(), message);
        }
        self.after_sync(now_ms, Waiting::OwnVote { term });
    }

    /// The own vote is synced and counts, if it is still wanted.
    pub(super) fn own_vote(&mut self, now_ms: u64, term: u64) {
        let me = self.settings.me.clone();
        self.count_vote(now_ms, me, term);
    }

    pub(super) fn asked_for_vote(&mut self, now_ms: u64, from: EntryName, request: &VoteRequest) {
        // A folder that is not the one counted must not answer for it: it does
        // not know what the counted one acknowledged or voted.
        if self.incarnation != Some(request.counted_as) {
            return;
        }
        let granted = self.may_vote(now_ms, &from, request);
        if granted && !request.pre {
            self.give_vote(now_ms, &from, request.term);
        }
        let message = Message::VoteReply {
            term: if granted {
                request.term
            } else {
                self.hard.term
            },
            pre: request.pre,
            granted,
            incarnation: request.counted_as,
        };
        self.send_after_sync(now_ms, from, message);
    }

    fn may_vote(&self, now_ms: u64, from: &EntryName, request: &VoteRequest) -> bool {
        let free = request.term > self.hard.term
            || request.term == self.hard.term
                && self.hard.voted_for.as_ref().is_none_or(|v| v == from);
        let ours = (self.log.last_term(), self.log.last_index());
        let complete = (request.last_term, request.last_index) >= ours;
        free && complete && !self.bound_to_leader(now_ms)
    }

    /// Whether it may still be the one that keeps a leader in office.
    ///
    /// A leader holds that no other can be elected until a quorum has not heard
    /// it for an election timeout, and grants view leases on that. A voter that
    /// restarted has forgotten whether it heard one, so it waits as long.
    fn bound_to_leader(&self, now_ms: u64) -> bool {
        let restarted = now_ms < self.started_ms + self.settings.election_timeout_ms;
        self.leads() || self.hears_leader(now_ms) || restarted
    }

    fn give_vote(&mut self, now_ms: u64, to: &EntryName, term: u64) {
        if term > self.hard.term {
            self.enter_term(now_ms, term);
        }
        self.hard.voted_for = Some(to.clone());
        self.journal.write(Record::Hard(self.hard.clone()));
        self.rest(now_ms);
    }

    pub(super) fn vote_answered(
        &mut self,
        now_ms: u64,
        from: EntryName,
        term: u64,
        pre: bool,
        granted: bool,
        incarnation: u64,
    ) {
        if !granted {
            if term > self.hard.term {
                self.enter_term(now_ms, term);
            }
            return;
        }
        let counts = self.log.membership().counts(&from, Some(incarnation));
        let asked = matches!(&self.part, Part::Candidate { pre: asked, .. } if *asked == pre);
        if counts && asked {
            self.count_vote(now_ms, from, term);
        }
    }

    fn count_vote(&mut self, now_ms: u64, from: EntryName, term: u64) {
        let Part::Candidate { pre, granted } = &mut self.part else {
            return;
        };
        let pre = *pre;
        if term != self.hard.term.saturating_add(u64::from(pre)) {
            return;
        }
        granted.insert(from);
        if granted.len() < self.log.membership().quorum() {
            return;
        }
        if pre {
            self.campaign(now_ms, false);
        } else {
            self.become_leader(now_ms);
        }
    }
}
