//! What a replica says of itself.

use std::collections::BTreeMap;

use crate::model::EntryName;

use super::leading::Leading;
use super::replica::Part;
use super::{Replica, Role, Stamp, Status, VoterState};

impl Replica {
    /// What this replica knows.
    pub fn status(&self, now_ms: u64) -> Status {
        let mut status = Status {
            role: self.role(),
            leader: self.leader.clone(),
            term: self.hard.term,
            commit_index: self.commit_index,
            applied_index: self.applied_index,
            fresh: self.fresh(now_ms),
            voters: self.voters(),
            quorum_lost: self.quorum_lost(now_ms),
            last_index: self.log.last_index(),
            snapshot_index: self.snapshot.as_ref().map_or(0, |s| s.index),
            incarnation: self.incarnation,
            ..Status::default()
        };
        if let Part::Leader(leading) = &self.part {
            let peers = || leading.peers.iter();
            status.peers_applied = peers().map(|(n, p)| (n.clone(), p.applied_index)).collect();
            status.peers_lease_end_ms = peers().map(|(n, p)| (n.clone(), p.lease_end_ms)).collect();
            status.voter_states = self.voter_states(now_ms, leading);
        }
        status
    }

    /// The leader that it hears, if any.
    pub fn leader(&self) -> Option<&EntryName> {
        self.leader.as_ref()
    }

    /// The voters that the log names; none before the cluster is founded.
    pub fn voters(&self) -> Vec<EntryName> {
        let membership = self.log.membership();
        membership.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Whether what it knows is recent; see [`Status::fresh`].
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.fresh(now_ms)
    }

    /// Its term, if it leads, a quorum was heard lately, and everything of earlier
    /// terms is applied.
    pub fn leading_term(&self, now_ms: u64) -> Option<u64> {
        (self.leads() && self.fresh(now_ms)).then_some(self.hard.term)
    }

    /// Whether it leads in this very term.
    pub fn is_leader_of(&self, term: Option<u64>) -> bool {
        self.leads() && term == Some(self.hard.term)
    }

    /// The present term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }

    /// The age of a stamp in milliseconds, if this start of the replica made it.
    pub fn stamp_age_ms(&self, now_ms: u64, stamp: Stamp) -> Option<u64> {
        (stamp.start == self.start).then(|| now_ms.saturating_sub(stamp.at_ms))
    }

    /// On the leader: each peer that answered it, with the latest stamp heard from it and
    /// the age in milliseconds of the latest message that it answered.
    pub fn peers_heard(&self, now_ms: u64) -> Vec<(&EntryName, Stamp, u64)> {
        let Part::Leader(leading) = &self.part else {
            return Vec::new();
        };
        let peers = leading.peers.iter();
        let heard = peers.filter_map(|(name, peer)| Some((name, peer.stamp?, peer.echo_ms?)));
        heard
            .map(|(name, stamp, echo_ms)| (name, stamp, now_ms.saturating_sub(echo_ms)))
            .collect()
    }

    /// What this replica knows of the voters' data folders, for a leader.
    fn voter_states(&self, now_ms: u64, leading: &Leading) -> BTreeMap<EntryName, VoterState> {
        let voters = self.log.membership().iter();
        voters
            .map(|(name, incarnation)| {
                let own = *name == self.settings.me;
                let peer = leading.peers.get(name);
                let state = VoterState {
                    incarnation,
                    counts: own || peer.is_some_and(|p| p.incarnation == Some(incarnation)),
                    match_index: if own {
                        self.journal.durable_index()
                    } else {
                        peer.map_or(0, |p| p.match_index)
                    },
                    heard_age_ms: if own {
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
        match &self.part {
            Part::Leader(_) => Role::Leader,
            Part::Follower | Part::Candidate { .. } if !self.is_voter() => Role::Learner,
            Part::Follower => Role::Follower,
            Part::Candidate { .. } => Role::Candidate,
        }
    }

    /// Whether what it knows is recent: for a leader, a quorum has answered within
    /// the view lease and all entries of earlier terms are committed; for others,
    /// a leader with a quorum has heard from this replica within it.
    fn fresh(&self, now_ms: u64) -> bool {
        let confirmed_ms = match &self.part {
            Part::Leader(leading) => self
                .quorum_heard_ms(now_ms)
                .filter(|_| self.commit_index >= leading.first_index),
            Part::Follower | Part::Candidate { .. } => self.confirmed_ms,
        };
        confirmed_ms.is_some_and(|at| now_ms < at + self.settings.view_lease_ms)
    }

    fn quorum_lost(&self, now_ms: u64) -> bool {
        !self.leads() && !self.hears_leader(now_ms)
    }
}
