//! Leadership transfer, before a planned stop and to a voter that reaches more instances.
//!
//! Without it, the other voters wait an election timeout for a leader that stopped as
//! planned, and every change and every claim stalls for a second. The leader names a
//! successor, before a stop the voter with the most complete log among those that answer. That
//! one starts an election at once, and the other voters, which know that the leader is gone,
//! may vote for it. The successor still needs a quorum, so a lost message costs only the usual
//! timeout.

use crate::model::EntryName;

use super::replica::RoleState;
use super::{Message, Replica};

impl Replica {
    /// Gives up leadership. Does nothing on a replica that is not the leader.
    pub(super) fn resign(&mut self, now_ms: u64) {
        if let Some(successor) = self.pick_successor(now_ms) {
            self.transfer(now_ms, successor);
        }
    }

    /// Gives up leadership in favor of a voter. Does nothing on a replica that is not the
    /// leader, or if the successor is no other voter.
    pub(super) fn transfer(&mut self, now_ms: u64, successor: EntryName) {
        let is_voter = self.log.membership().incarnation(&successor).is_some();
        if !self.is_leader() || !is_voter || successor == self.settings.me {
            return;
        }
        let term = self.hard.term;
        for to in self.peers.clone() {
            let successor = successor.clone();
            self.send(to, Message::Resign { term, successor });
        }
        self.leader = None;
        self.leader_heard_ms = None;
        self.become_follower(now_ms);
    }

    /// On the leader: returns the other voter with the most complete log, one that has answered
    /// lately if there is any.
    fn pick_successor(&self, now_ms: u64) -> Option<EntryName> {
        let RoleState::Leader(leader) = &self.role_state else {
            return None;
        };
        let voters = self.log.membership().without_voter(&self.settings.me);
        let fitness = |name: &EntryName| {
            let peer = leader.peers.get(name)?;
            let answers = peer
                .echo_ms
                .is_some_and(|at_ms| now_ms < at_ms + self.settings.election_timeout_ms);
            Some((answers, peer.match_index))
        };
        voters
            .iter()
            .max_by_key(|(name, _)| fitness(name))
            .map(|(name, _)| name.clone())
    }

    /// Handles the resignation of the leader: this replica may vote again at once, and
    /// starts an election if it is the successor.
    pub(super) fn handle_resign(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        term: u64,
        successor: &EntryName,
    ) {
        // Ignores a late message and one from a former leader.
        if term != self.hard.term || self.leader.as_ref() != Some(from) {
            return;
        }
        self.leader = None;
        self.leader_heard_ms = None;
        self.resigned_term = Some(term);
        if *successor == self.settings.me && self.is_voter() {
            self.campaign(now_ms, true);
        }
    }
}
