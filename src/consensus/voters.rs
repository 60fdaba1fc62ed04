//! How the voters change: one at a time, and nobody counts before it caught up.
//!
//! With one change at a time any quorum of the old voters meets any of the new.
//! A change must be committed before the next, and a leader changes nothing
//! before it has committed an entry of its own term: else two unfinished changes
//! by two leaders can give two quorums that don't meet, and two leaders.
//!
//! Repair is such a change, made by the leader itself: a voter whose data folder
//! is a new one is counted under the new incarnation as soon as it has caught
//! up. Until then the lost folder still counts as a voter that is silent, so a
//! second loss right after finds everything the first one held.

use crate::model::EntryName;

use super::progress::Progress;
use super::replica::Part;
use super::{Membership, Replica, VoterChange};

impl Replica {
    pub(super) fn advance_voters(&mut self, now_ms: u64) {
        let Part::Leader(leading) = &self.part else {
            return;
        };
        let settled = self.commit_index >= leading.first_index
            && self.log.membership_index() <= self.commit_index;
        if !settled {
            return;
        }
        let next = self
            .next_wanted(now_ms)
            .or_else(|| self.next_repair(now_ms));
        if let Some(membership) = next {
            self.add_entry(Vec::new(), Some(membership));
        }
    }

    /// Whether this leader is removed for good.
    pub(super) fn removed(&self) -> bool {
        self.log.membership_index() <= self.commit_index && !self.is_voter()
    }

    /// The first wanted change whose turn it is; drops those that are done or
    /// can't be.
    fn next_wanted(&mut self, now_ms: u64) -> Option<Membership> {
        let membership = self.log.membership().clone();
        let Part::Leader(leading) = &mut self.part else {
            return None;
        };
        leading.wanted.retain(|change| match change {
            VoterChange::Add(name) => membership.incarnation(name).is_none(),
            VoterChange::Remove(name) => {
                membership.incarnation(name).is_some() && membership.len() > 1
            }
        });
        let wanted = leading.wanted.clone();
        let next = wanted.iter().filter_map(|change| match change {
            VoterChange::Add(name) => self
                .caught_up(now_ms, name)
                .map(|inc| membership.with(name, inc)),
            VoterChange::Remove(name) => Some(membership.without(name)),
        });
        next.into_iter().find(|next| self.has_quorum(now_ms, next))
    }

    /// Whether a quorum of these voters is alive under this leader.
    ///
    /// A change that leaves none could never be committed nor undone: with a voter
    /// dead, removing a living one would end the cluster. It waits until the dead
    /// one is back or removed.
    fn has_quorum(&self, now_ms: u64, membership: &Membership) -> bool {
        let Part::Leader(leading) = &self.part else {
            return false;
        };
        let alive = membership.iter().filter(|(name, incarnation)| {
            let own = **name == self.settings.me;
            let peer = leading.peers.get(*name);
            own || peer.is_some_and(|p| {
                p.incarnation == Some(*incarnation) && self.answered_lately(now_ms, p)
            })
        });
        alive.count() >= membership.quorum()
    }

    fn answered_lately(&self, now_ms: u64, peer: &Progress) -> bool {
        let timeout_ms = self.settings.election_timeout_ms;
        peer.echo_ms.is_some_and(|at| now_ms < at + timeout_ms)
    }

    /// The membership with the first lost folder replaced that is made up for.
    fn next_repair(&self, now_ms: u64) -> Option<Membership> {
        let membership = self.log.membership();
        membership.iter().find_map(|(name, old)| {
            let new = self.caught_up(now_ms, name)?;
            (new != old).then(|| membership.with(name, new))
        })
    }

    /// The incarnation of a peer's data folder, if it is alive and holds all that
    /// is committed.
    fn caught_up(&self, now_ms: u64, name: &EntryName) -> Option<u64> {
        let Part::Leader(leading) = &self.part else {
            return None;
        };
        let peer = leading.peers.get(name)?;
        let caught_up = peer.match_index >= self.commit_index;
        peer.incarnation
            .filter(|_| caught_up && self.answered_lately(now_ms, peer))
    }
}
