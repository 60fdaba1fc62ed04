//! Discovery of control instances, and the choice of which of them vote and which leads.
//!
//! The settings name at most three addresses, which are the same on all instances at the
//! first start. Each instance greets those that it knows, says where it runs, and learns of
//! others from the answers. The leader brings the voters to the number and the places that
//! survive the losses to be borne, one change at a time (see [`crate::control::voters`]). It
//! hands leadership to a voter that reaches more instances than itself.

use std::collections::BTreeMap;

use super::Node;
use super::peers::PEER_TIMEOUT_MS;
use crate::consensus::{Input, Status};
use crate::control::voters::VOTER_TIMEOUT_MS;
use crate::control::{
    Member, PeerMessage, Presence, QuorumStatus, Spread, VoterPlan, VoterStatus, next_voter_change,
};
use crate::model::EntryName;

/// Interval at which an instance greets each known control instance.
const HELLO_INTERVAL_MS: u64 = 800;
/// Interval at which a leader checks the voters.
const VOTER_CHECK_INTERVAL_MS: u64 = 300;
/// Time before the first check of a new leader: by then all that are there have greeted it, and
/// the slower half of the voters has answered.
const FIRST_VOTER_CHECK_MS: u64 = 1_000;
/// How long a voter must reach more instances than the leader before it gets the leadership.
/// An instance that starts or ends is noticed by some a greeting earlier than by others.
const REACH_CHECK_MS: u64 = 2_000;
/// The part of the control instances by which a voter must reach more of them than the leader:
/// a new leader has to hear from every worker before it can give it work.
const REACH_PART: usize = 8;

/// A voter that reaches more instances than the leader, and since when.
#[derive(Debug)]
pub(super) struct BetterLeader {
    name: EntryName,
    since_ms: u64,
}

impl Node {
    /// Adds a control instance to the known peers, unless it is known.
    pub(super) fn add_peer(&mut self, now_ms: u64, name: &EntryName) {
        if *name == self.settings.me || self.relay.members().contains(name) {
            return;
        }
        tracing::info!(%name, "control: a control instance was discovered");
        let mut members = self.relay.members().to_vec();
        members.push(name.clone());
        self.relay.set_members(members);
        self.step_replica(now_ms, Input::AddPeer { name: name.clone() });
    }

    /// Greets all known control instances when it is due.
    pub(super) fn send_hellos(&mut self, now_ms: u64) {
        if now_ms < self.next_hello_ms {
            return;
        }
        self.next_hello_ms = now_ms + HELLO_INTERVAL_MS;
        self.entries_heard
            .retain(|_, at| now_ms < *at + PEER_TIMEOUT_MS);
        let state = &self.state;
        self.worker_starts
            .retain(|worker, _| state.worker(worker).is_some());
        let presence = Presence {
            location: self.settings.location.clone(),
            heard: u16::try_from(self.peers.present(now_ms).count()).unwrap_or(u16::MAX),
        };
        for to in self.relay.members().to_vec() {
            if to == self.settings.me {
                continue;
            }
            let understands = self.peers.understands_presence(&to);
            if understands || self.peers.offers_presence(&to) {
                self.send(to.clone(), PeerMessage::Presence(presence.clone()));
            }
            if !understands {
                self.send(to, PeerMessage::Hello { has_folder: true });
            }
        }
    }

    pub(super) fn handle_hello(&mut self, now_ms: u64, from: EntryName, has_folder: bool) {
        if has_folder {
            self.add_peer(now_ms, &from);
            self.peers.record(now_ms, &from, None);
        } else {
            self.entries_heard.insert(from.clone(), now_ms);
        }
        let welcome = self.welcome();
        self.send(from, welcome);
    }

    pub(super) fn handle_presence(&mut self, now_ms: u64, from: EntryName, presence: Presence) {
        self.add_peer(now_ms, &from);
        if self.peers.location(&from) != Some(&presence.location) {
            tracing::info!(
                name = %from, zone = %presence.location.zone,
                "control: a control instance says where it runs"
            );
        }
        self.peers.record(now_ms, &from, Some(presence));
        let welcome = self.welcome();
        self.send(from, welcome);
    }

    /// Tells the entry instances that have recently sent a hello about a new leader at
    /// once, because calls wait there for it.
    pub(super) fn announce_leader(&mut self, now_ms: u64) {
        let leader = self.leader();
        if leader == self.announced_leader {
            return;
        }
        self.announced_leader = leader;
        if self.announced_leader.is_none() {
            return;
        }
        let recent = self
            .entries_heard
            .iter()
            .filter(|(_, at)| now_ms < **at + PEER_TIMEOUT_MS);
        let recent: Vec<EntryName> = recent.map(|(name, _)| name.clone()).collect();
        for client in recent {
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

    /// Returns the control instances to which workers should send their reports. A leader
    /// leaves reports to the other instances that are present; any other instance takes
    /// them itself.
    pub fn report_places(&self, now_ms: u64) -> Vec<EntryName> {
        let mut places: Vec<EntryName> = Vec::new();
        if self.leader_state.is_some() {
            places.extend(self.peers.present(now_ms).cloned());
        }
        if places.is_empty() {
            places.push(self.settings.me.clone());
        }
        places
    }

    /// Returns the current leader, if it is known to this instance.
    pub(super) fn leader(&self) -> Option<EntryName> {
        if self.leader_state.is_some() {
            return Some(self.settings.me.clone());
        }
        // An instance that is elected but has not begun its leadership does not answer
        // calls yet.
        let leader = self.replica.leader()?;
        (*leader != self.settings.me).then(|| leader.clone())
    }

    /// On the leader: plans the next change of the voters, and gives way to a voter that
    /// reaches more instances.
    pub(super) fn adjust_voters(&mut self, now_ms: u64) {
        if !self.leads(now_ms) {
            self.next_voter_check_ms = now_ms + FIRST_VOTER_CHECK_MS;
            self.better_leader = None;
            return;
        }
        if now_ms < self.next_voter_check_ms {
            return;
        }
        self.next_voter_check_ms = now_ms + VOTER_CHECK_INTERVAL_MS;
        let status = self.replica.status(now_ms);
        let members = self.members(now_ms, &status);
        self.log_quorum(&members);
        let change = next_voter_change(&self.settings.me, &members, &self.settings.tolerance);
        if change != self.planned_change {
            if let Some(change) = &change {
                let places = Spread::of(voter_locations(&members));
                tracing::info!(
                    ?change, voters = status.voters.len(), zones = ?places.zones(),
                    "control: the set of voters changes"
                );
            }
            self.planned_change.clone_from(&change);
        }
        let settled = change.is_none();
        self.step_replica(now_ms, Input::PlanVoters { change });
        if settled {
            self.give_way(now_ms, &status);
        }
    }

    /// Returns the control instances as this leader sees them.
    fn members(&self, now_ms: u64, status: &Status) -> Vec<Member> {
        let me = &self.settings.me;
        let led_ms = self
            .leader_state
            .as_ref()
            .map_or(0, |lead| lead.led_for_ms(now_ms));
        let voters = status.voter_states.iter().map(|(name, voter)| {
            let is_me = name == me;
            // A voter that never answered this leader counts as lost since it began.
            let age_ms = voter.heard_age_ms.unwrap_or(VOTER_TIMEOUT_MS + 1 + led_ms);
            let present_ms = self
                .peers
                .silent_and_present_ms(now_ms, name)
                .map_or(0, |(_, present_ms)| present_ms);
            Member {
                name: name.clone(),
                location: match is_me {
                    true => Some(self.settings.location.clone()),
                    false => self.peers.location(name).cloned(),
                },
                silent_ms: if is_me { 0 } else { age_ms },
                present_ms: if is_me { u64::MAX } else { present_ms },
                is_voter: true,
            }
        });
        let others = self
            .peers
            .names()
            .filter(|name| !status.voters.contains(name));
        let answers: BTreeMap<&EntryName, u64> = self
            .replica
            .peer_contacts(now_ms)
            .into_iter()
            .map(|(name, _, age_ms)| (name, age_ms))
            .collect();
        let others = others.filter_map(|name| {
            let (greeted_ms, present_ms) = self.peers.silent_and_present_ms(now_ms, name)?;
            // An instance that was cut off a moment ago still counts as present by its last
            // greeting, but it has ceased to answer the log.
            let silent_ms = answers.get(name).copied().unwrap_or(greeted_ms);
            Some(Member {
                name: name.clone(),
                location: self.peers.location(name).cloned(),
                silent_ms,
                present_ms,
                is_voter: false,
            })
        });
        voters.chain(others).collect()
    }

    /// Logs when the voters begin or cease to survive the losses that are to be borne.
    fn log_quorum(&mut self, members: &[Member]) {
        let spread = Spread::of(voter_locations(members));
        let borne = spread.borne(&self.settings.tolerance);
        if self.logged_borne == Some(borne) {
            return;
        }
        self.logged_borne = Some(borne);
        let tolerance = self.settings.tolerance;
        let (zones, unknown) = (spread.zones(), spread.unknown());
        if borne.all() {
            tracing::info!(
                ?zones,
                unknown,
                ?tolerance,
                "control: the voters survive the losses to be borne"
            );
        } else {
            let locations = members.iter().map(|member| member.location.as_ref());
            let plan = VoterPlan::new(locations, &tolerance);
            tracing::warn!(
                ?zones,
                unknown,
                ?tolerance,
                ?borne,
                ?plan,
                "control: the voters do not survive the losses to be borne"
            );
        }
    }

    /// Hands leadership to a voter that has reached more control instances than this one for
    /// a while. Calls and reports of what only the other one reaches arrive there.
    fn give_way(&mut self, now_ms: u64, status: &Status) {
        let own = self.peers.present(now_ms).count();
        let margin = (self.peers.names().count() / REACH_PART).max(1);
        let caught_up = status.voter_states.iter().filter(|(name, voter)| {
            let answers = voter
                .heard_age_ms
                .is_some_and(|age_ms| age_ms < VOTER_TIMEOUT_MS);
            **name != self.settings.me && answers && voter.match_index >= status.commit_index
        });
        let reaches =
            caught_up.filter_map(|(name, _)| Some((self.peers.reach(now_ms, name)?, name)));
        let best = reaches.max_by_key(|(reach, _)| *reach);
        let Some((reach, name)) = best.filter(|(reach, _)| *reach >= own + margin) else {
            self.better_leader = None;
            return;
        };
        let name = name.clone();
        let since_ms = match &self.better_leader {
            Some(better) if better.name == name => better.since_ms,
            _ => now_ms,
        };
        self.better_leader = Some(BetterLeader {
            name: name.clone(),
            since_ms,
        });
        if now_ms >= since_ms + REACH_CHECK_MS {
            tracing::info!(
                %name, reach, own,
                "control: a voter that reaches more control instances gets the leadership"
            );
            self.better_leader = None;
            self.step_replica(now_ms, Input::Transfer { to: name });
        }
    }

    /// Returns where the voters are and which losses they survive, as far as this instance
    /// knows.
    pub fn quorum_status(&self, now_ms: u64) -> QuorumStatus {
        let status = self.replica.status(now_ms);
        let voters: Vec<VoterStatus> = status
            .voters
            .iter()
            .map(|name| VoterStatus {
                name: name.clone(),
                location: match *name == self.settings.me {
                    true => Some(self.settings.location.clone()),
                    false => self.peers.location(name).cloned(),
                },
                present: *name == self.settings.me || self.peers.is_present(now_ms, name),
            })
            .collect();
        let spread = Spread::of(voters.iter().map(|voter| voter.location.as_ref()));
        QuorumStatus {
            leader: self.leader(),
            term: status.term,
            borne: spread.borne(&self.settings.tolerance),
            tolerance: self.settings.tolerance,
            voters,
        }
    }
}

fn voter_locations(members: &[Member]) -> impl Iterator<Item = Option<&super::Location>> {
    let voters = members.iter().filter(|member| member.is_voter);
    voters.map(|member| member.location.as_ref())
}
