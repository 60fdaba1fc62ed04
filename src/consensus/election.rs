//! Leader election with pre-votes.
//!
//! A voter that has not heard from a leader for an election timeout first runs a
//! pre-vote round, which changes no term and no recorded vote. Only if a quorum grants it
//! does the candidate enter the next term and request binding votes. A voter refuses
//! both kinds of request while it hears from a leader.

use std::collections::BTreeSet;

use crate::model::EntryName;

use super::journal::Deferred;
use super::replica::RoleState;
use super::{Message, Record, Replica, VoteRequest};

/// Distance between the terms of successive leaders. A leader can so derive further tokens from
/// its term, in ascending order, that are below those of every successor: `term + 1` to
/// `term + TERM_STRIDE - 1`. Replicas of earlier builds count terms one by one.
pub const TERM_STRIDE: u64 = 64;

impl Replica {
    pub(super) fn tick_election(&mut self, now_ms: u64) {
        if now_ms < self.election_due_ms || self.has_recent_leader(now_ms) {
            return;
        }
        if self.can_campaign() {
            self.campaign(now_ms, true);
        } else {
            self.reset_election_timer(now_ms);
        }
    }

    /// Returns whether this replica may campaign: it is a voter, or its removal is not
    /// committed yet.
    ///
    /// A voter that is being removed may be the only one whose log has the removal and
    /// the entries before it. If another voter has lost its disk, no quorum can elect
    /// a leader without it.
    fn can_campaign(&self) -> bool {
        let committed = self.log.membership_at(self.commit_index);
        self.is_voter() || committed.is_voter(&self.settings.me, self.incarnation)
    }

    /// Requests votes from all other voters; with `pre`, runs a pre-vote round.
    ///
    /// Without pre-votes, an isolated voter keeps incrementing its term and deposes a
    /// healthy leader with the higher term when it reconnects, so callers see changes
    /// stall for an election. It cannot win a pre-vote while the other voters hear from
    /// a leader, so its term does not change.
    pub(super) fn campaign(&mut self, now_ms: u64, pre: bool) {
        if !pre {
            self.enter_term(now_ms, self.next_term());
            self.hard.voted_for = Some(self.settings.me.clone());
            self.journal.write(Record::Hard(self.hard.clone()));
        }
        self.reset_election_timer(now_ms);
        self.role_state = RoleState::Candidate {
            pre,
            granted: BTreeSet::new(),
            refused: BTreeSet::new(),
        };
        let term = match pre {
            true => self.next_term(),
            false => self.hard.term,
        };
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        let voters = self.log.membership().without_voter(&self.settings.me);
        for (name, counted_as) in voters.iter() {
            let message = Message::Vote(VoteRequest {
                term,
                pre,
                last_index,
                last_term,
                counted_as,
            });
            // Sent after the sync: a candidate that loses its term in a crash could
            // win the same term twice, the second time with a different log.
            self.send_after_sync(now_ms, name.clone(), message);
        }
        match pre {
            true if self.is_voter() => {
                self.count_pre_vote(now_ms, self.settings.me.clone(), term);
            }
            true => {}
            false => self.after_sync(now_ms, Deferred::OwnVote { term }),
        }
    }

    /// Returns the term in which this replica would lead next.
    fn next_term(&self) -> u64 {
        let term = self.hard.term;
        (term - term % TERM_STRIDE).saturating_add(TERM_STRIDE)
    }

    /// Counts the candidate's vote for itself once that vote is synced.
    pub(super) fn count_own_vote(&mut self, now_ms: u64, term: u64) {
        if self.is_voter() {
            self.count_vote(now_ms, self.settings.me.clone(), term);
        }
    }

    pub(super) fn handle_vote_request(
        &mut self,
        now_ms: u64,
        from: EntryName,
        request: &VoteRequest,
    ) {
        // A data folder with another incarnation than the membership lists must not
        // answer: it does not know what the listed one acknowledged or voted.
        if self.incarnation != Some(request.counted_as) {
            return;
        }
        let granted = self.can_grant_vote(now_ms, &from, request)
            && (!request.pre || self.grants_pre_vote(now_ms, &from, request));
        if granted && !request.pre {
            self.record_vote(now_ms, &from, request.term);
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

    fn can_grant_vote(&self, now_ms: u64, from: &EntryName, request: &VoteRequest) -> bool {
        let vote_available = request.term > self.hard.term
            || request.term == self.hard.term
                && self.hard.voted_for.as_ref().is_none_or(|v| v == from);
        let ours = (self.log.last_term(), self.log.last_index());
        let log_up_to_date = (request.last_term, request.last_index) >= ours;
        vote_available && log_up_to_date && !self.is_bound_to_leader(now_ms)
    }

    /// Returns whether to grant a pre-vote to this candidate, and remembers the grant.
    ///
    /// If all simultaneous candidates got pre-votes, they would split the votes and
    /// wait for another timeout. So a voter grants pre-votes to one candidate only for
    /// [`Self::pre_vote_hold_ms`], and of two candidates that ask each other one steps
    /// back. Safety does not depend on this: a pre-vote binds nobody, and a refused
    /// candidate soon asks again.
    ///
    /// The candidate with the more complete log takes precedence, because the other one
    /// cannot win its vote.
    fn grants_pre_vote(&mut self, now_ms: u64, from: &EntryName, request: &VoteRequest) -> bool {
        let is_pre_candidate = matches!(self.role_state, RoleState::Candidate { pre: true, .. });
        let granted_to_other = match &self.last_pre_vote {
            Some((name, at_ms)) => name != from && now_ms < at_ms + self.pre_vote_hold_ms(),
            None => false,
        };
        let ours = (self.log.last_term(), self.log.last_index());
        let is_more_complete = (request.last_term, request.last_index) > ours;
        let grants = match is_pre_candidate {
            true => is_more_complete || *from < self.settings.me,
            false => !granted_to_other,
        };
        if grants {
            if is_pre_candidate {
                self.become_follower(now_ms);
            }
            self.last_pre_vote = Some((from.clone(), now_ms));
        }
        grants
    }

    /// How long a pre-vote keeps others from getting one, in milliseconds: several
    /// round trips.
    fn pre_vote_hold_ms(&self) -> u64 {
        self.settings.election_timeout_ms / 4
    }

    /// Returns whether a leader may still rely on this voter not to elect another one.
    ///
    /// A leader assumes that no other leader can be elected until a quorum has not heard
    /// from it for an election timeout, and grants view leases on that assumption. A
    /// restarted voter does not know when it last heard from a leader, so it grants no
    /// vote for an election timeout.
    fn is_bound_to_leader(&self, now_ms: u64) -> bool {
        let restarted = now_ms < self.started_ms + self.settings.election_timeout_ms;
        self.is_leader() || self.has_recent_leader(now_ms) || restarted
    }

    fn record_vote(&mut self, now_ms: u64, to: &EntryName, term: u64) {
        if term > self.hard.term {
            self.enter_term(now_ms, term);
        }
        self.hard.voted_for = Some(to.clone());
        self.journal.write(Record::Hard(self.hard.clone()));
        self.reset_election_timer(now_ms);
    }

    pub(super) fn handle_vote_reply(
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
        let is_voter = self.log.membership().is_voter(&from, Some(incarnation));
        match (granted, pre) {
            _ if !is_voter => {}
            (true, true) => self.count_pre_vote(now_ms, from, term),
            (true, false) => self.count_vote(now_ms, from, term),
            (false, _) => self.count_refusal(now_ms, from, pre),
        }
    }

    fn count_pre_vote(&mut self, now_ms: u64, from: EntryName, term: u64) {
        let next_term = self.next_term();
        let RoleState::Candidate {
            pre: true, granted, ..
        } = &mut self.role_state
        else {
            return;
        };
        if term != next_term {
            return;
        }
        granted.insert(from);
        if granted.len() >= self.log.membership().quorum() {
            self.campaign(now_ms, false);
        }
    }

    /// Counts a binding vote and becomes leader once a quorum has voted.
    ///
    /// Votes count for as long as the term lasts, even if they arrive after this replica
    /// has started another pre-vote round: on overloaded machines they take longer than
    /// a timeout, and discarding them would restart every round. A replica that has led
    /// in the term and stepped down does not lead in it again.
    fn count_vote(&mut self, now_ms: u64, from: EntryName, term: u64) {
        let is_candidate = self.hard.voted_for.as_ref() == Some(&self.settings.me);
        if term != self.hard.term || !is_candidate || self.last_led_term == Some(term) {
            return;
        }
        self.votes.insert(from);
        if self.votes.len() >= self.log.membership().quorum() {
            self.become_leader(now_ms);
        }
    }

    /// Counts a refusal; retries early once the round can no longer be won.
    fn count_refusal(&mut self, now_ms: u64, from: EntryName, pre: bool) {
        let RoleState::Candidate {
            pre: pre_round,
            refused,
            ..
        } = &mut self.role_state
        else {
            return;
        };
        if *pre_round != pre {
            return;
        }
        refused.insert(from);
        let voters = self.log.membership();
        let possible_votes = voters.len().saturating_sub(refused.len());
        if possible_votes < voters.quorum() {
            self.shorten_election_timer(now_ms);
        }
    }
}
