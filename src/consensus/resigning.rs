//! How a leader hands over before a planned stop.
//!
//! Without it the others wait an election timeout for a leader that said it was
//! going: every change and every claim of a restart stalls for a second. The
//! leader names the voter that holds most of the log; that one asks for votes at
//! once, and the others, told that the leader is gone, are free to give them.
//! Who wins is still the voters' matter, so a lost message costs only the wait.

use crate::model::EntryName;

use super::replica::Part;
use super::{Message, Replica};

impl Replica {
    /// Gives up the lead; does nothing on a replica that does not lead.
    pub(super) fn resign(&mut self, now_ms: u64) {
        let Some(successor) = self.successor() else {
            return;
        };
        let term = self.hard.term;
        for to in self.others.clone() {
            let successor = successor.clone();
            self.send(to, Message::Resign { term, successor });
        }
        self.leader = None;
        self.heard_ms = None;
        self.become_follower(now_ms);
    }

    /// The other voter whose log reaches furthest.
    fn successor(&self) -> Option<EntryName> {
        let Part::Leader(leading) = &self.part else {
            return None;
        };
        let voters = self.log.membership().without(&self.settings.me);
        voters
            .iter()
            .max_by_key(|(name, _)| leading.peers.get(*name).map_or(0, |p| p.match_index))
            .map(|(name, _)| name.clone())
    }

    /// The leader has resigned: it binds no vote any more.
    pub(super) fn leader_resigned(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        term: u64,
        successor: &EntryName,
    ) {
        // Late, or from one that leads no more.
        if term != self.hard.term || self.leader.as_ref() != Some(from) {
            return;
        }
        self.leader = None;
        self.heard_ms = None;
        self.resigned_term = Some(term);
        if *successor == self.settings.me && self.is_voter() {
            self.campaign(now_ms, true);
        }
    }
}
