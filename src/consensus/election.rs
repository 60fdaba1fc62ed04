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
        if self.may_stand() {
            self.campaign(now_ms, true);
        } else {
            self.rest(now_ms);
        }
    }

    /// Whether it may be elected: it is a voter, or its removal is not committed.
    ///
    /// The one that is being removed may be the only one that holds the removal and what
    /// came before it. With another voter's disk lost the others need it to go on.
    fn may_stand(&self) -> bool {
        let committed = self.log.membership_at(self.commit_index);
        self.is_voter() || committed.counts(&self.settings.me, self.incarnation)
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
            refused: BTreeSet::new(),
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
        match pre {
            true if self.is_voter() => {
                self.favoured_by(now_ms, self.settings.me.clone(), term);
            }
            true => {}
            false => self.after_sync(now_ms, Waiting::OwnVote { term }),
        }
    }

    /// The own vote is synced and counts.
    pub(super) fn own_vote(&mut self, now_ms: u64, term: u64) {
        if self.is_voter() {
            self.elected_by(now_ms, self.settings.me.clone(), term);
        }
    }

    pub(super) fn asked_for_vote(&mut self, now_ms: u64, from: EntryName, request: &VoteRequest) {
        // A folder that is not the one counted must not answer for it: it does
        // not know what the counted one acknowledged or voted.
        if self.incarnation != Some(request.counted_as) {
            return;
        }
        let granted = self.may_vote(now_ms, &from, request)
            && (!request.pre || self.favours(now_ms, &from, request));
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

    /// Whether it tells this candidate that it would elect it.
    ///
    /// Candidates that ask at the same time would all be encouraged, split the votes and
    /// wait for another timeout. So one of them is favoured for a while, and of two
    /// candidates that ask each other one steps back. It costs no safety: nobody is bound
    /// by this answer, and who was refused asks again soon.
    ///
    /// A candidate whose log reaches further goes first: the other one cannot win its vote.
    fn favours(&mut self, now_ms: u64, from: &EntryName, request: &VoteRequest) -> bool {
        let asks_itself = matches!(self.part, Part::Candidate { pre: true, .. });
        let other = match &self.favoured {
            Some((name, at_ms)) => name != from && now_ms < at_ms + self.favour_ms(),
            None => false,
        };
        let ours = (self.log.last_term(), self.log.last_index());
        let reaches_further = (request.last_term, request.last_index) > ours;
        let favours = match asks_itself {
            true => reaches_further || *from < self.settings.me,
            false => !other,
        };
        if favours {
            if asks_itself {
                self.become_follower(now_ms);
            }
            self.favoured = Some((from.clone(), now_ms));
        }
        favours
    }

    /// How long a candidate is favoured: some round trips.
    fn favour_ms(&self) -> u64 {
        self.settings.election_timeout_ms / 4
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
        if !granted && term > self.hard.term {
            return self.enter_term(now_ms, term);
        }
        let counts = self.log.membership().counts(&from, Some(incarnation));
        match (granted, pre) {
            _ if !counts => {}
            (true, true) => self.favoured_by(now_ms, from, term),
            (true, false) => self.elected_by(now_ms, from, term),
            (false, _) => self.refused_by(now_ms, from, pre),
        }
    }

    fn favoured_by(&mut self, now_ms: u64, from: EntryName, term: u64) {
        let Part::Candidate {
            pre: true, granted, ..
        } = &mut self.part
        else {
            return;
        };
        if term != self.hard.term.saturating_add(1) {
            return;
        }
        granted.insert(from);
        if granted.len() >= self.log.membership().quorum() {
            self.campaign(now_ms, false);
        }
    }

    /// Counts a vote that binds.
    ///
    /// Votes count for as long as the term lasts, also when they come after this replica
    /// has begun to ask again: on machines that are starved they take longer than a
    /// timeout, and to throw them away would begin each round anew. One that has led in the
    /// term and stepped down does not lead in it again.
    fn elected_by(&mut self, now_ms: u64, from: EntryName, term: u64) {
        let stands = self.hard.voted_for.as_ref() == Some(&self.settings.me);
        if term != self.hard.term || !stands || self.led_term == Some(term) {
            return;
        }
        self.votes.insert(from);
        if self.votes.len() >= self.log.membership().quorum() {
            self.become_leader(now_ms);
        }
    }

    /// Asks again soon, once the round cannot be won any more.
    fn refused_by(&mut self, now_ms: u64, from: EntryName, pre: bool) {
        let Part::Candidate {
            pre: asked,
            refused,
            ..
        } = &mut self.part
        else {
            return;
        };
        if *asked != pre {
            return;
        }
        refused.insert(from);
        let voters = self.log.membership();
        let still_possible = voters.len().saturating_sub(refused.len());
        if still_possible < voters.quorum() {
            self.rest_briefly(now_ms);
        }
    }
}
