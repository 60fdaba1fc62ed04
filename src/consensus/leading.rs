//! What a leader does: orders commands, sends them out, commits them, and knows
//! whether it still is the leader.

use std::collections::{BTreeMap, BTreeSet};

use crate::model::EntryName;

use super::progress::{Mode, Progress};
use super::replica::Part;
use super::{
    Acked, Action, Beat, Entry, Membership, Message, Record, Replica, Reply, ReplyOutcome,
    VoterChange,
};

/// Entries in one message at most, by their bytes, and a piece of a snapshot.
/// With one command of [`COMMAND_LIMIT_BYTES`] on top no message exceeds a frame
/// of 1 MiB, and a heartbeat waits behind no more than that on a slow link.
const BATCH_LIMIT_BYTES: usize = 256 << 10;

/// The largest command, in bytes. One above is dropped when it is proposed.
pub const COMMAND_LIMIT_BYTES: usize = 512 << 10;

/// Entries a leader holds that are not committed. Without a bound a leader cut
/// off under load fills its memory until it steps down; a dropped command is
/// proposed again by its proposer.
const UNCOMMITTED_MAX: u64 = 4096;

/// What a leader knows beyond its log.
#[derive(Debug)]
pub(super) struct Leading {
    /// When it was elected.
    pub(super) since_ms: u64,
    /// Its first entry; what is committed up to here is all there was before.
    pub(super) first_index: u64,
    pub(super) peers: BTreeMap<EntryName, Progress>,
    /// Changes of the voters that wait for their turn.
    pub(super) wanted: BTreeSet<VoterChange>,
}

impl Leading {
    /// The latest sending time of which a quorum of the voters has answered a
    /// message at least as new; none if no quorum has answered yet.
    pub(super) fn quorum_heard_ms(
        &self,
        now_ms: u64,
        me: &EntryName,
        membership: &Membership,
    ) -> Option<u64> {
        membership.reached(|name, incarnation| {
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
        // Leases that an earlier leader granted end by then: it granted none after
        // this replica's voters had not heard it for an election timeout.
        let lease_end_ms = now_ms + self.lease_as_granted_ms();
        let next = self.log.last_index() + 1;
        let names = self.others.iter().cloned();
        let peers = names
            .map(|name| (name, Progress::new(next, lease_end_ms)))
            .collect();
        self.part = Part::Leader(Box::new(Leading {
            since_ms: now_ms,
            first_index: next,
            peers,
            wanted: BTreeSet::new(),
        }));
        self.leader = Some(self.settings.me.clone());
        self.led_term = Some(self.hard.term);
        // Entries of earlier terms are committed only by way of one of its own.
        self.add_entry(Vec::new(), None);
        for peer in self.others.clone() {
            self.beat(now_ms, &peer);
        }
    }

    pub(super) fn add_command(&mut self, command: Vec<u8>) {
        if self.log.last_index() < self.commit_index + UNCOMMITTED_MAX {
            self.add_entry(command, None);
        }
    }

    pub(super) fn add_entry(&mut self, command: Vec<u8>, membership: Option<Membership>) {
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
        if self.lost_quorum(now_ms) {
            self.leader = None;
            return self.become_follower(now_ms);
        }
        let due: Vec<EntryName> = match &self.part {
            Part::Leader(leading) => leading
                .peers
                .iter()
                .filter(|(_, p)| now_ms >= p.sent_ms + self.settings.heartbeat_ms)
                .map(|(name, _)| name.clone())
                .collect(),
            Part::Follower | Part::Candidate { .. } => Vec::new(),
        };
        for peer in due {
            self.beat(now_ms, &peer);
        }
    }

    /// Whether it leads and no quorum has answered for nine tenths of an election timeout.
    ///
    /// A leader cut off with a minority would go on telling its side that its
    /// view is recent while the other side elects a new one and changes pools: an
    /// instance would serve two. Its voters elect no other for a whole election
    /// timeout; the tenth is for clocks that run apart.
    pub fn lost_quorum(&self, now_ms: u64) -> bool {
        let Part::Leader(leading) = &self.part else {
            return false;
        };
        let heard_ms = self.quorum_heard_ms(now_ms).unwrap_or(leading.since_ms);
        now_ms >= heard_ms + self.settings.election_timeout_ms * 9 / 10
    }

    /// On the leader: when a quorum was last provably heard.
    pub(super) fn quorum_heard_ms(&self, now_ms: u64) -> Option<u64> {
        match &self.part {
            Part::Leader(l) => l.quorum_heard_ms(now_ms, &self.settings.me, self.log.membership()),
            Part::Follower | Part::Candidate { .. } => None,
        }
    }

    /// How long a leader takes a lease to last that a peer holds for
    /// `view_lease_ms`: a tenth more, for clocks that run apart.
    pub(super) fn lease_as_granted_ms(&self) -> u64 {
        self.settings.view_lease_ms * 11 / 10
    }

    pub(super) fn replied(&mut self, now_ms: u64, from: EntryName, reply: &Reply) {
        if reply.term > self.hard.term {
            return self.enter_term(now_ms, reply.term);
        }
        let last_index = self.log.last_index();
        let Part::Leader(leading) = &mut self.part else {
            return;
        };
        let Some(peer) = leading.peers.get_mut(&from) else {
            return;
        };
        if reply.term < self.hard.term {
            return;
        }
        peer.heard(now_ms, reply);
        match reply.outcome {
            // Nothing beyond the own log can match; a peer that says so is wrong.
            ReplyOutcome::Matched { index } if index <= last_index => peer.matched(index),
            ReplyOutcome::Conflict { index } => peer.conflict(index, last_index),
            ReplyOutcome::Received { index, bytes } => {
                if peer.received(index, bytes) {
                    self.send_chunk(now_ms, &from);
                }
            }
            ReplyOutcome::Matched { .. } | ReplyOutcome::Stale => {}
        }
    }

    /// After each input: commits what a quorum has, changes voters whose turn it
    /// is, and sends what may be sent.
    pub(super) fn lead_on(&mut self, now_ms: u64) {
        if !self.leads() {
            return;
        }
        self.advance_commit();
        if self.removed() {
            self.leader = None;
            return self.become_follower(now_ms);
        }
        self.advance_voters(now_ms);
        for peer in self.others.clone() {
            self.send_entries(now_ms, &peer);
        }
    }

    fn advance_commit(&mut self) {
        let Part::Leader(leading) = &self.part else {
            return;
        };
        let index = self.log.membership().reached(|name, incarnation| {
            if *name == self.settings.me {
                return self.journal.durable_index();
            }
            let peer = leading.peers.get(name);
            peer.filter(|p| p.incarnation == Some(incarnation))
                .map_or(0, |p| p.match_index)
        });
        // An entry of an earlier term that a quorum has may still be replaced by a
        // leader with a later one; under an entry of its own term it can't.
        if index > self.commit_index && index >= leading.first_index {
            self.commit_index = index;
            self.apply();
        }
    }

    fn beat(&mut self, now_ms: u64, to: &EntryName) {
        let Part::Leader(leading) = &self.part else {
            return;
        };
        let Some(peer) = leading.peers.get(to) else {
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
                let prev = self.prev_of(peer.next_index);
                self.send_append(now_ms, to, prev, Vec::new());
            }
        }
    }

    /// The entry before `next`, or the first one that is not compacted.
    fn prev_of(&self, next: u64) -> (u64, u64) {
        let index = next.saturating_sub(1).max(self.log.base_index());
        (index, self.log.term_at(index).unwrap_or_default())
    }

    /// Sends the peer as many entries as may be under way, or news of a commit.
    fn send_entries(&mut self, now_ms: u64, to: &EntryName) {
        while let Part::Leader(leading) = &mut self.part {
            let Some(peer) = leading.peers.get_mut(to) else {
                return;
            };
            let next = peer.next_index;
            if !peer.may_send() {
                return;
            }
            if next <= self.log.base_index() {
                return self.start_snapshot(now_ms, to);
            }
            if next > self.log.last_index() {
                if peer.commit_told < self.commit_index {
                    self.beat(now_ms, to);
                }
                return;
            }
            let entries = self.log.batch(next, BATCH_LIMIT_BYTES);
            peer.sent(next + entries.len() as u64 - 1);
            let prev = self.prev_of(next);
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
        let Some(beat) = self.next_beat(now_ms, to) else {
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
        if let Part::Leader(leading) = &mut self.part
            && let Some(peer) = leading.peers.get_mut(to)
        {
            peer.mode = Mode::Snapshot { snapshot, bytes: 0 };
        }
        self.send_chunk(now_ms, to);
    }

    fn send_chunk(&mut self, now_ms: u64, to: &EntryName) {
        let Part::Leader(leading) = &self.part else {
            return;
        };
        let Some(Mode::Snapshot { snapshot, bytes }) = leading.peers.get(to).map(|p| &p.mode)
        else {
            return;
        };
        let (snapshot, offset_bytes) = (snapshot.clone(), *bytes);
        let from = usize::try_from(offset_bytes).unwrap_or(usize::MAX);
        let rest = snapshot.data.get(from..).unwrap_or_default();
        let data = rest[..rest.len().min(BATCH_LIMIT_BYTES)].to_vec();
        let Some(beat) = self.next_beat(now_ms, to) else {
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
        self.out.push(Action::Send {
            to: to.clone(),
            message,
        });
    }

    /// What a message to the peer carries now; grants it a view lease from the
    /// stamp heard last, if a quorum is behind this leader.
    fn next_beat(&mut self, now_ms: u64, to: &EntryName) -> Option<Beat> {
        let backed = self.quorum_heard_ms(now_ms).is_some() && !self.lost_quorum(now_ms);
        let lease_ms = self.lease_as_granted_ms();
        let Part::Leader(leading) = &mut self.part else {
            return None;
        };
        let peer = leading.peers.get_mut(to)?;
        let heard = peer.stamp.filter(|_| backed);
        if heard.is_some() {
            peer.lease_end_ms = now_ms + lease_ms;
        }
        peer.sent_ms = now_ms;
        peer.commit_told = self.commit_index;
        Some(Beat {
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
