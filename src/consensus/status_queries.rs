//! Read-only queries on a replica's state.

use std::collections::BTreeMap;

use crate::model::EntryName;

use super::leader::LeaderState;
use super::replica::RoleState;
use super::{Replica, Role, Status, Timestamp, VoterState};

impl Replica {
    /// Returns this replica's view of the log and of its peers.
    pub fn status(&self, now_ms: u64) -> Status {
        let mut status = Status {
            role: self.role(),
            leader: self.leader.clone(),
            term: self.hard.term,
            commit_index: self.commit_index,
            applied_index: self.applied_index,
            fresh: self.has_valid_view_lease(now_ms),
            voters: self.voters(),
            quorum_lost: self.has_no_leader(now_ms),
            last_index: self.log.last_index(),
            snapshot_index: self.snapshot.as_ref().map_or(0, |s| s.index),
            incarnation: self.incarnation,
            ..Status::default()
        };
        if let RoleState::Leader(leader) = &self.role_state {
            let peers = || leader.peers.iter();
            status.peers_applied = peers().map(|(n, p)| (n.clone(), p.applied_index)).collect();
            status.peers_lease_end_ms = peers().map(|(n, p)| (n.clone(), p.lease_end_ms)).collect();
            status.voter_states = self.voter_states(now_ms, leader);
        }
        status
    }

    /// Returns the current leader, if one is known.
    pub fn leader(&self) -> Option<&EntryName> {
        self.leader.as_ref()
    }

    /// Returns the voters in the log's membership; empty before the cluster is created.
    pub fn voters(&self) -> Vec<EntryName> {
        let membership = self.log.membership();
        membership.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether the view lease is valid; see [`Status::fresh`].
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.has_valid_view_lease(now_ms)
    }

    /// Returns the current term if this replica is the leader, a quorum answered it within
    /// the view lease, and all entries of earlier terms are applied.
    pub fn leading_term(&self, now_ms: u64) -> Option<u64> {
        (self.is_leader() && self.has_valid_view_lease(now_ms)).then_some(self.hard.term)
    }

    /// Returns whether this replica is the leader of exactly this term.
    pub fn is_leader_of(&self, term: Option<u64>) -> bool {
        self.is_leader() && term == Some(self.hard.term)
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// Returns the age of a timestamp in milliseconds, or `None` if another start of the
    /// replica created it.
    pub fn stamp_age_ms(&self, now_ms: u64, stamp: Timestamp) -> Option<u64> {
        (stamp.start == self.start_id).then(|| now_ms.saturating_sub(stamp.at_ms))
    }

    /// On the leader: returns each peer that has answered, with the latest timestamp received
    /// from it and the age in milliseconds of the latest message that it answered.
    pub fn peer_contacts(&self, now_ms: u64) -> Vec<(&EntryName, Timestamp, u64)> {
        let RoleState::Leader(leader) = &self.role_state else {
            return Vec::new();
        };
        let peers = leader.peers.iter();
        let heard = peers.filter_map(|(name, peer)| Some((name, peer.stamp?, peer.echo_ms?)));
        heard
            .map(|(name, stamp, echo_ms)| (name, stamp, now_ms.saturating_sub(echo_ms)))
            .collect()
    }

    /// Returns the leader's view of the voters and their data folders.
    fn voter_states(&self, now_ms: u64, leader: &LeaderState) -> BTreeMap<EntryName, VoterState> {
        let voters = self.log.membership().iter();
        voters
            .map(|(name, incarnation)| {
                let is_self = *name == self.settings.me;
                let peer = leader.peers.get(name);
                let state = VoterState {
                    incarnation,
                    counts: is_self || peer.is_some_and(|p| p.incarnation == Some(incarnation)),
                    match_index: if is_self {
                        self.journal.durable_index()
                    } else {
                        peer.map_or(0, |p| p.match_index)
                    },
                    heard_age_ms: if is_self {
                        Some(0)
                    } else {
                        peer.and_then(|p| p.echo_ms)
                            .map(|at| now_ms.saturating_sub(at))
                    },
                };
                (name.clone(), state)
            })
            .collect()
    }

    fn role(&self) -> Role {
        match &self.role_state {
            RoleState::Leader(_) => Role::Leader,
            RoleState::Follower | RoleState::Candidate { .. } if !self.is_voter() => Role::Learner,
            RoleState::Follower => Role::Follower,
            RoleState::Candidate { .. } => Role::Candidate,
        }
    }

    /// Returns whether this replica's state is recent. On the leader: a quorum has answered
    /// within the view lease, and all entries of earlier terms are committed. Elsewhere:
    /// a leader with a quorum has heard from this replica within the view lease.
    fn has_valid_view_lease(&self, now_ms: u64) -> bool {
        let confirmed_ms = match &self.role_state {
            RoleState::Leader(leader) => self
                .quorum_heard_ms(now_ms)
                .filter(|_| self.commit_index >= leader.first_index),
            RoleState::Follower | RoleState::Candidate { .. } => self.view_confirmed_ms,
        };
        confirmed_ms.is_some_and(|at| now_ms < at + self.settings.view_lease_ms)
    }

    fn has_no_leader(&self, now_ms: u64) -> bool {
        !self.is_leader() && !self.has_recent_leader(now_ms)
    }
}
