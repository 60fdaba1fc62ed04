//! Peers that are discovered at run time.
//!
//! The settings need not list all peers: an instance that connects, or that a
//! membership lists, becomes a peer. Being a peer gives no vote.

use crate::model::EntryName;

use super::Replica;
use super::progress::Progress;
use super::replica::RoleState;

impl Replica {
    /// Adds a peer if it is new. A leader starts to replicate the log to it.
    pub(super) fn add_peer(&mut self, now_ms: u64, name: EntryName) {
        if name == self.settings.me || self.peers.contains(&name) {
            return;
        }
        let position = self.peers.partition_point(|other| *other < name);
        self.peers.insert(position, name.clone());
        let next = self.log.last_index() + 1;
        let lease_end_ms = now_ms + self.granted_lease_ms();
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.peers.insert(name, Progress::new(next, lease_end_ms));
        }
    }

    /// Adds all voters of the membership as peers: the settings do not list a voter that
    /// was added while this replica was down.
    pub(super) fn add_peers_from_membership(&mut self, now_ms: u64) {
        let unknown: Vec<EntryName> = self
            .log
            .membership()
            .iter()
            .map(|(name, _)| name.clone())
            .filter(|name| *name != self.settings.me && !self.peers.contains(name))
            .collect();
        for name in unknown {
            self.add_peer(now_ms, name);
        }
    }
}
