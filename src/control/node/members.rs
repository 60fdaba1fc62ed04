//! How control instances find each other, and which of them vote.
//!
//! The settings name three addresses at most, the same on all at the first start.
//! Everyone says hello to those it knows, and learns of others from the answers. The
//! leader makes voters of instances with a data folder until there are as many as
//! the losses to be borne need, and replaces a voter that stays away once another
//! is there to take its place: first the new one is added, then the old removed, so
//! that no quorum is ever smaller than the losses allow.

use super::super::PeerMessage;
use super::Node;
use crate::consensus::{Input, VoterChange};
use crate::model::EntryName;

/// How often instances greet those that they know.
const HELLO_MS: u64 = 800;
/// An instance that said hello within this time is there.
pub(super) const THERE_MS: u64 = 2_500;
/// A voter that did not answer for this long is away: longer than a restart or a short
/// cut takes, so that these cost no change of voters.
///
/// When a voter is gone for good and its successor has caught up, the next disk may be
/// lost. Were the lost one still a voter by then and the successor not, too few whole
/// folders would be left, and nobody would lead ever again. This, two looks and two
/// commits are over before the 4 s that a successor has to catch up.
const AWAY_MS: u64 = 2_000;
/// How often a leader looks at who is away. A new one first lets the voters answer for as
/// long, or the slower half of them would count as away.
const VOTERS_MS: u64 = 300;

impl Node {
    /// Knows of an instance from now on.
    pub(super) fn meet(&mut self, now_ms: u64, name: &EntryName) {
        if *name == self.settings.me || self.relay.members().contains(name) {
            return;
        }
        tracing::info!(%name, "control: another control instance is known");
        let mut members = self.relay.members().to_vec();
        members.push(name.clone());
        self.relay.set_members(members);
        self.log(now_ms, Input::Meet { name: name.clone() });
    }

    /// Says hello to everyone known.
    pub(super) fn greet(&mut self, now_ms: u64) {
        if now_ms < self.hello_ms {
            return;
        }
        self.hello_ms = now_ms + HELLO_MS;
        self.clients.retain(|_, at| now_ms < *at + THERE_MS);
        for to in self.relay.members().to_vec() {
            if to != self.settings.me {
                self.send(to, PeerMessage::Hello { has_folder: true });
            }
        }
    }

    pub(super) fn hello(&mut self, now_ms: u64, from: EntryName, has_folder: bool) {
        if has_folder {
            self.meet(now_ms, &from);
            self.met.insert(from.clone(), now_ms);
        } else {
            self.clients.insert(from.clone(), now_ms);
        }
        let welcome = self.welcome();
        self.send(from, welcome);
    }

    /// Tells the entry instances that greet this one at once that another one leads: calls
    /// wait there for that.
    pub(super) fn announce_leader(&mut self, now_ms: u64) {
        let leader = self.leader();
        if leader == self.announced {
            return;
        }
        self.announced = leader;
        if self.announced.is_none() {
            return;
        }
        let there = self
            .clients
            .iter()
            .filter(|(_, at)| now_ms < **at + THERE_MS);
        let there: Vec<EntryName> = there.map(|(name, _)| name.clone()).collect();
        for client in there {
            let welcome = self.welcome();
            self.send(client, welcome);
        }
    }

    fn welcome(&self) -> PeerMessage {
        let mut members = self.relay.members().to_vec();
        if !members.contains(&self.settings.me) {
            members.push(self.settings.me.clone());
        }
        PeerMessage::Welcome {
            leader: self.leader(),
            term: self.replica.term(),
            members,
        }
    }

    /// Where workers should report: a leader leaves their reports to the others that
    /// are there, anyone else takes them.
    pub fn report_places(&self, now_ms: u64) -> Vec<EntryName> {
        let there = |at: &u64| now_ms < *at + THERE_MS;
        let mut places: Vec<EntryName> = Vec::new();
        if self.lead.is_some() {
            let others = self.met.iter().filter(|(_, at)| there(at));
            places.extend(others.map(|(name, _)| name.clone()));
        }
        if places.is_empty() {
            places.push(self.settings.me.clone());
        }
        places
    }

    /// The leader, as far as is known here.
    pub(super) fn leader(&self) -> Option<EntryName> {
        if self.lead.is_some() {
            return Some(self.settings.me.clone());
        }
        // One whose log leads but who has not begun does not answer calls yet.
        let leader = self.replica.leader()?;
        (*leader != self.settings.me).then(|| leader.clone())
    }

    /// On the leader: adds voters while there are too few, removes those that stay
    /// away while there are more than enough.
    pub(super) fn change_voters(&mut self, now_ms: u64) {
        if !self.leads(now_ms) {
            self.voters_ms = now_ms + VOTERS_MS;
            return;
        }
        if now_ms < self.voters_ms {
            return;
        }
        self.voters_ms = now_ms + VOTERS_MS;
        let status = self.replica.status(now_ms);
        let wanted = self.settings.voters_wanted();
        let away: Vec<&EntryName> = status
            .voter_states
            .iter()
            .filter(|(_, voter)| voter.heard_age_ms.is_none_or(|age| age > AWAY_MS))
            .map(|(name, _)| name)
            .collect();
        let change = if status.voters.len() > wanted {
            away.first()
                .map(|name| VoterChange::Remove((*name).clone()))
        } else if status.voters.len() < wanted || !away.is_empty() {
            let candidates = self.met.iter().filter(|(_, at)| now_ms < *at + THERE_MS);
            let mut candidates = candidates.map(|(name, _)| name);
            let next = candidates.find(|name| !status.voters.contains(name));
            next.map(|name| VoterChange::Add(name.clone()))
        } else {
            None
        };
        if let Some(change) = change {
            tracing::info!(
                ?change,
                voters = status.voters.len(),
                "control: voters change"
            );
            self.log(now_ms, Input::ChangeVoters { change });
        }
    }
}
