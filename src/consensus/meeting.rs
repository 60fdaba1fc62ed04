//! Peers that are found while the system runs.
//!
//! The settings need not name everyone: an instance that says hello, or that a
//! membership names, is a peer from then on. Being a peer gives no vote.

use crate::model::EntryName;

use super::Replica;
use super::progress::Progress;
use super::replica::Part;

impl Replica {
    /// Knows of a peer from now on; a leader sends it the log.
    pub(super) fn meet(&mut self, now_ms: u64, name: EntryName) {
        if name == self.settings.me || self.others.contains(&name) {
            return;
        }
        let place = self.others.partition_point(|other| *other < name);
        self.others.insert(place, name.clone());
        let next = self.log.last_index() + 1;
        let lease_end_ms = now_ms + self.lease_as_granted_ms();
        if let Part::Leader(leading) = &mut self.part {
            leading
                .peers
                .insert(name, Progress::new(next, lease_end_ms));
        }
    }

    /// Knows of all that the membership names: a voter that was added while this
    /// replica was away is in no settings.
    pub(super) fn meet_voters(&mut self, now_ms: u64) {
        let unknown: Vec<EntryName> = self
            .log
            .membership()
            .iter()
            .map(|(name, _)| name.clone())
            .filter(|name| *name != self.settings.me && !self.others.contains(name))
            .collect();
        for name in unknown {
            self.meet(now_ms, name);
        }
    }
}
