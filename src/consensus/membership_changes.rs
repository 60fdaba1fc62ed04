//! Membership changes: one voter at a time, and only with voters that have caught up.
//!
//! With single-server changes, any quorum of the old voters overlaps with any quorum of
//! the new ones. A change must be committed before the next one starts, and a leader
//! starts none before it has committed an entry of its own term. Otherwise unfinished
//! changes of two leaders could result in disjoint quorums, and so in two leaders.
//!
//! Repair is such a change, started by the leader itself: once a voter with a new data
//! folder has caught up, the membership lists its new incarnation. Until then the lost
//! folder remains in the membership as an unresponsive voter, so that a second loss
//! right after it does not lose the entries that were on the first folder.

use crate::model::EntryName;

use super::progress::Progress;
use super::replica::RoleState;
use super::{Membership, Replica, VoterChange};

impl Replica {
    /// Appends the next membership change, if the previous one is committed.
    pub(super) fn advance_membership(&mut self, now_ms: u64) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let settled = self.commit_index >= leader.first_index
            && self.log.membership_index() <= self.commit_index;
        if !settled {
            return;
        }
        let next = self
            .next_requested_change(now_ms)
            .or_else(|| self.next_repair(now_ms));
        if let Some(membership) = next {
            self.append_entry(Vec::new(), Some(membership));
        }
    }

    /// Returns whether this leader's removal from the voters is committed.
    pub(super) fn is_removed(&self) -> bool {
        self.log.membership_index() <= self.commit_index && !self.is_voter()
    }

    /// Returns the membership after the first requested change that can start now. Discards
    /// requests that are done or impossible.
    fn next_requested_change(&mut self, now_ms: u64) -> Option<Membership> {
        let membership = self.log.membership().clone();
        let RoleState::Leader(leader) = &mut self.role_state else {
            return None;
        };
        leader.requested_changes.retain(|change| match change {
            VoterChange::Add(name) => membership.incarnation(name).is_none(),
            VoterChange::Remove(name) => {
                membership.incarnation(name).is_some() && membership.len() > 1
            }
        });
        let requested = leader.requested_changes.clone();
        let next = requested.iter().filter_map(|change| match change {
            VoterChange::Add(name) => self
                .caught_up_incarnation(now_ms, name)
                .map(|inc| membership.with_voter(name, inc)),
            VoterChange::Remove(name) => Some(membership.without_voter(name)),
        });
        next.into_iter()
            .find(|next| self.has_live_quorum(now_ms, next))
    }

    /// Returns whether a quorum of these voters is responsive under this leader.
    ///
    /// A change to voters without a responsive quorum could be neither committed nor
    /// undone: with one of three voters down, removing a live one would halt the cluster
    /// for good. Such a change waits until the voter that is down is back or removed.
    fn has_live_quorum(&self, now_ms: u64, membership: &Membership) -> bool {
        let RoleState::Leader(leader) = &self.role_state else {
            return false;
        };
        let responsive = membership.iter().filter(|(name, incarnation)| {
            let is_self = **name == self.settings.me;
            let peer = leader.peers.get(*name);
            is_self
                || peer.is_some_and(|p| {
                    p.incarnation == Some(*incarnation) && self.answered_recently(now_ms, p)
                })
        });
        responsive.count() >= membership.quorum()
    }

    fn answered_recently(&self, now_ms: u64, peer: &Progress) -> bool {
        let timeout_ms = self.settings.election_timeout_ms;
        peer.echo_ms.is_some_and(|at| now_ms < at + timeout_ms)
    }

    /// Returns the membership in which the first voter that has caught up with a new data
    /// folder is listed under its new incarnation.
    fn next_repair(&self, now_ms: u64) -> Option<Membership> {
        let membership = self.log.membership();
        membership.iter().find_map(|(name, old)| {
            let new = self.caught_up_incarnation(now_ms, name)?;
            (new != old).then(|| membership.with_voter(name, new))
        })
    }

    /// Returns the incarnation of a peer's data folder, if the peer is responsive and has
    /// all committed entries.
    fn caught_up_incarnation(&self, now_ms: u64, name: &EntryName) -> Option<u64> {
        let RoleState::Leader(leader) = &self.role_state else {
            return None;
        };
        let peer = leader.peers.get(name)?;
        let caught_up = peer.match_index >= self.commit_index;
        peer.incarnation
            .filter(|_| caught_up && self.answered_recently(now_ms, peer))
    }
}
