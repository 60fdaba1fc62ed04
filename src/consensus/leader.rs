//! The leader's side of log replication: it orders commands, sends them to its peers,
//! commits them, and steps down when it loses its quorum.

use std::collections::{BTreeMap, BTreeSet};

use crate::model::EntryName;

use super::progress::{Mode, Progress};
use super::replica::RoleState;
use super::{
    Acked, Action, Entry, Heartbeat, Membership, Message, Record, Replica, Reply, ReplyOutcome,
    VoterChange,
};

/// Bounds the entries, or the snapshot chunk, in one message. Together with one command
/// of [`COMMAND_LIMIT_BYTES`], a message stays below a frame of 1 MiB, which also bounds
/// what a heartbeat can queue behind on a slow link.
pub(super) const MAX_BATCH_BYTES: usize = 256 << 10;

/// The largest command, in bytes. A larger one is dropped when it is proposed.
pub const COMMAND_LIMIT_BYTES: usize = 512 << 10;

/// Bounds the uncommitted entries on a leader. Without it, a leader that is partitioned
/// under load fills its memory until it steps down. The proposer of a dropped command
/// proposes it again.
const MAX_UNCOMMITTED_ENTRIES: u64 = 4096;

/// State that only a leader keeps.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Time of the election, in milliseconds.
    pub(super) elected_ms: u64,
    /// Index of the first entry of its term. Once that is committed, so are all entries
    /// of earlier terms.
    pub(super) first_index: u64,
    pub(super) peers: BTreeMap<EntryName, Progress>,
    /// Requested changes of the voters that are not in the log yet.
    pub(super) requested_changes: BTreeSet<VoterChange>,
}

impl LeaderState {
    /// Returns the latest time such that a quorum of the voters has answered a message
    /// sent then or later, or `None` if no quorum has answered yet.
    pub(super) fn quorum_heard_ms(
        &self,
        now_ms: u64,
        me: &EntryName,
        membership: &Membership,
    ) -> Option<u64> {
        membership.quorum_reached(|name, incarnation| {
            if name == me {
                return Some(now_ms);
            }
            let peer = self.peers.get(name)?;
            peer.echo_ms
                .filter(|_| peer.incarnation == Some(incarnation))
        })
    }
}

impl Replica {
    pub(super) fn become_leader(&mut self, now_ms: u64) {
        // By then, leases granted by an earlier leader have expired: it granted none
        // once the voters of this replica had not heard from it for an election timeout.
        let lease_end_ms = now_ms + self.granted_lease_ms();
        let next = self.log.last_index() + 1;
        let names = self.peers.iter().cloned();
        let peers = names
            .map(|name| (name, Progress::new(next, lease_end_ms)))
            .collect();
        self.role_state = RoleState::Leader(Box::new(LeaderState {
            elected_ms: now_ms,
            first_index: next,
            peers,
            requested_changes: BTreeSet::new(),
        }));
        self.leader = Some(self.settings.me.clone());
        self.last_led_term = Some(self.hard.term);
        // Entries of earlier terms commit only together with one of the leader's term.
        self.append_entry(Vec::new(), None);
        for peer in self.peers.clone() {
            self.send_heartbeat(now_ms, &peer);
        }
    }

    pub(super) fn append_command(&mut self, command: Vec<u8>) {
        if self.log.last_index() < self.commit_index + MAX_UNCOMMITTED_ENTRIES {
            self.append_entry(command, None);
        }
    }

    pub(super) fn append_entry(&mut self, command: Vec<u8>, membership: Option<Membership>) {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard.term,
            command,
            membership,
        };
        self.journal.write(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    pub(super) fn tick_leader(&mut self, now_ms: u64) {
        if self.has_lost_quorum(now_ms) {
            self.leader = None;
            return self.become_follower(now_ms);
        }
        let due: Vec<EntryName> = match &self.role_state {
            RoleState::Leader(leader) => leader
                .peers
                .iter()
                .filter(|(_, p)| now_ms >= p.sent_ms + self.settings.heartbeat_ms)
                .map(|(name, _)| name.clone())
                .collect(),
            RoleState::Follower | RoleState::Candidate { .. } => Vec::new(),
        };
        for peer in due {
            self.send_heartbeat(now_ms, &peer);
        }
    }

    /// Returns whether this replica is the leader and no quorum has answered it for nine
    /// tenths of an election timeout.
    ///
    /// A leader in a minority partition would keep granting view leases while the other
    /// side elects a new leader and changes pools, so that one instance would serve two
    /// pools. The voters elect no other leader for a whole election timeout; the
    /// remaining tenth allows for clock drift.
    pub fn has_lost_quorum(&self, now_ms: u64) -> bool {
        let RoleState::Leader(leader) = &self.role_state else {
            return false;
        };
        let heard_ms = self.quorum_heard_ms(now_ms).unwrap_or(leader.elected_ms);
        now_ms >= heard_ms + self.settings.election_timeout_ms * 9 / 10
    }

    /// On the leader: the latest time at which a quorum is known to have followed it.
    pub(super) fn quorum_heard_ms(&self, now_ms: u64) -> Option<u64> {
        match &self.role_state {
            RoleState::Leader(leader) => {
                leader.quorum_heard_ms(now_ms, &self.settings.me, self.log.membership())
            }
            RoleState::Follower | RoleState::Candidate { .. } => None,
        }
    }

    /// How long the leader assumes that a granted view lease lasts, in milliseconds: a
    /// tenth longer than the peer's `view_lease_ms`, to allow for clock drift.
    pub(super) fn granted_lease_ms(&self) -> u64 {
        self.settings.view_lease_ms * 11 / 10
    }

    pub(super) fn handle_reply(&mut self, now_ms: u64, from: EntryName, reply: &Reply) {
        if reply.term > self.hard.term {
            return self.enter_term(now_ms, reply.term);
        }
        let last_index = self.log.last_index();
        let RoleState::Leader(leader) = &mut self.role_state else {
            return;
        };
        let Some(peer) = leader.peers.get_mut(&from) else {
            return;
        };
        if reply.term < self.hard.term {
            return;
        }
        peer.record_reply(now_ms, reply);
        match reply.outcome {
            // A match beyond the leader's own log is impossible and is ignored.
            ReplyOutcome::Matched { index } if index <= last_index => peer.record_match(index),
            ReplyOutcome::Conflict { index } => peer.record_conflict(index, last_index),
            ReplyOutcome::Received { index, bytes } => {
                if peer.record_received(index, bytes) {
                    self.send_chunk(now_ms, &from);
                }
            }
            ReplyOutcome::Matched { .. } | ReplyOutcome::Stale => {}
        }
    }

    /// Runs after each input: commits what a quorum has, starts the next membership
    /// change, and sends entries to the peers.
    pub(super) fn advance_leader(&mut self, now_ms: u64) {
        if !self.is_leader() {
            return;
        }
        self.advance_commit();
        if self.is_removed() {
            self.leader = None;
            return self.become_follower(now_ms);
        }
        self.advance_membership(now_ms);
        for peer in self.peers.clone() {
            self.send_entries(now_ms, &peer);
        }
    }

    fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let index = self.log.membership().quorum_reached(|name, incarnation| {
            if *name == self.settings.me {
                return self.journal.durable_index();
            }
            let peer = leader.peers.get(name);
            peer.filter(|p| p.incarnation == Some(incarnation))
                .map_or(0, |p| p.match_index)
        });
        // A leader of a later term can still replace an entry of an earlier term that a
        // quorum has, unless an entry of this leader's term follows it on the quorum.
        if index > self.commit_index && index >= leader.first_index {
            self.commit(index);
        }
    }

    fn send_heartbeat(&mut self, now_ms: u64, to: &EntryName) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let Some(peer) = leader.peers.get(to) else {
            return;
        };
        match &peer.mode {
            Mode::Snapshot { snapshot, bytes } if *bytes < snapshot.data.len() as u64 => {
                self.send_chunk(now_ms, to);
            }
            Mode::Snapshot { snapshot, .. } => {
                let prev = (snapshot.index, snapshot.term);
                self.send_append(now_ms, to, prev, Vec::new());
            }
            Mode::Probe { .. } | Mode::Replicate { .. } => {
                let prev = self.entry_before(peer.next_index);
                self.send_append(now_ms, to, prev, Vec::new());
            }
        }
    }

    /// Returns index and term of the entry before `next`, or of the compaction point if
    /// that entry is compacted.
    fn entry_before(&self, next: u64) -> (u64, u64) {
        let index = next.saturating_sub(1).max(self.log.base_index());
        (index, self.log.term_at(index).unwrap_or_default())
    }

    /// Sends the peer as many entries as may be in flight, or a heartbeat if only the
    /// commit index is new to it.
    fn send_entries(&mut self, now_ms: u64, to: &EntryName) {
        while let RoleState::Leader(leader) = &mut self.role_state {
            let Some(peer) = leader.peers.get_mut(to) else {
                return;
            };
            let next = peer.next_index;
            if !peer.can_send() {
                return;
            }
            if next <= self.log.base_index() {
                return self.start_snapshot(now_ms, to);
            }
            if next > self.log.last_index() {
                if peer.sent_commit_index < self.commit_index {
                    self.send_heartbeat(now_ms, to);
                }
                return;
            }
            let last = self.log.last_index();
            let entries = self.log.batch(next, last, MAX_BATCH_BYTES);
            peer.record_sent(next + entries.len() as u64 - 1);
            let prev = self.entry_before(next);
            self.send_append(now_ms, to, prev, entries);
        }
    }

    fn send_append(
        &mut self,
        now_ms: u64,
        to: &EntryName,
        (prev_index, prev_term): (u64, u64),
        entries: Vec<Entry>,
    ) {
        let Some(beat) = self.next_heartbeat(now_ms, to) else {
            return;
        };
        let message = Message::Append {
            beat,
            prev_index,
            prev_term,
            entries,
        };
        self.send(to.clone(), message);
    }

    fn start_snapshot(&mut self, now_ms: u64, to: &EntryName) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        if let RoleState::Leader(leader) = &mut self.role_state
            && let Some(peer) = leader.peers.get_mut(to)
        {
            peer.mode = Mode::Snapshot { snapshot, bytes: 0 };
        }
        self.send_chunk(now_ms, to);
    }

    fn send_chunk(&mut self, now_ms: u64, to: &EntryName) {
        let RoleState::Leader(leader) = &self.role_state else {
            return;
        };
        let Some(Mode::Snapshot { snapshot, bytes }) = leader.peers.get(to).map(|p| &p.mode) else {
            return;
        };
        let (snapshot, offset_bytes) = (snapshot.clone(), *bytes);
        let from = usize::try_from(offset_bytes).unwrap_or(usize::MAX);
        let rest = snapshot.data.get(from..).unwrap_or_default();
        let data = rest[..rest.len().min(MAX_BATCH_BYTES)].to_vec();
        let Some(beat) = self.next_heartbeat(now_ms, to) else {
            return;
        };
        let message = Message::Chunk {
            beat,
            index: snapshot.index,
            term: snapshot.term,
            membership: snapshot.membership.clone(),
            total_bytes: snapshot.data.len() as u64,
            offset_bytes,
            data,
        };
        self.actions.push(Action::Send {
            to: to.clone(),
            message,
        });
    }

    /// Returns the heartbeat for the next message to the peer. If the leader has a quorum,
    /// the heartbeat grants a view lease counted from the peer's latest timestamp.
    fn next_heartbeat(&mut self, now_ms: u64, to: &EntryName) -> Option<Heartbeat> {
        let quorum_confirmed =
            self.quorum_heard_ms(now_ms).is_some() && !self.has_lost_quorum(now_ms);
        let commit_index = self.commit_index;
        let lease_ms = self.granted_lease_ms();
        let RoleState::Leader(leader) = &mut self.role_state else {
            return None;
        };
        let peer = leader.peers.get_mut(to)?;
        // Until an entry of its own term is committed, a leader may not know all that is.
        let knows_all = commit_index >= leader.first_index;
        let heard = peer.stamp.filter(|_| quorum_confirmed && knows_all);
        if heard.is_some() {
            peer.lease_end_ms = now_ms + lease_ms;
        }
        peer.sent_ms = now_ms;
        peer.sent_commit_index = self.commit_index;
        Some(Heartbeat {
            term: self.hard.term,
            sent_ms: now_ms,
            heard,
            acked: peer.incarnation.map(|incarnation| Acked {
                incarnation,
                index: peer.match_index,
            }),
            commit_index: self.commit_index,
        })
    }
}
