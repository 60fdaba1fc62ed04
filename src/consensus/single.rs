//! One fixed leader that keeps the log in memory: the thinnest thing that puts
//! commands in one order. The naive side of the differential tests; it stops
//! when its leader does.

use std::collections::BTreeMap;

use crate::model::EntryName;

use super::{Action, Beat, Entry, Input, Message, Reply, ReplyOutcome, Role, Stamp, Status};

/// A replica under a fixed leader.
#[derive(Debug)]
pub struct Single {
    me: EntryName,
    leader: EntryName,
    peers: Vec<EntryName>,
    log: Vec<Entry>,
    applied: BTreeMap<EntryName, u64>,
}

impl Single {
    /// A replica named `me` under `leader`, with all other replicas as `peers`.
    pub fn new(me: EntryName, leader: EntryName, peers: Vec<EntryName>) -> Self {
        Self {
            me,
            leader,
            peers,
            log: Vec::new(),
            applied: BTreeMap::new(),
        }
    }

    /// Takes one input and returns what to do.
    pub fn handle(&mut self, _now_ms: u64, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(),
            Input::Propose { command } => self.propose(command),
            Input::Message { from, message } => self.message(from, message),
            Input::ChangeVoters { .. }
            | Input::Resign
            | Input::Persisted { .. }
            | Input::SnapshotTaken { .. } => Vec::new(),
        }
    }

    /// What this replica knows.
    pub fn status(&self) -> Status {
        let last = self.log.len() as u64;
        Status {
            role: if self.me == self.leader {
                Role::Leader
            } else {
                Role::Learner
            },
            leader: Some(self.leader.clone()),
            term: 1,
            commit_index: last,
            applied_index: last,
            fresh: true,
            voters: vec![self.leader.clone()],
            peers_applied: self.applied.clone(),
            ..Status::default()
        }
    }

    fn tick(&mut self) -> Vec<Action> {
        if self.me == self.leader {
            let behind: Vec<EntryName> = self
                .peers
                .iter()
                .filter(|peer| self.applied_by(peer) < self.log.len() as u64)
                .cloned()
                .collect();
            behind.iter().map(|peer| self.append_to(peer)).collect()
        } else {
            vec![self.report()]
        }
    }

    fn propose(&mut self, command: Vec<u8>) -> Vec<Action> {
        if self.me != self.leader {
            let to = self.leader.clone();
            let message = Message::Forward { command };
            return vec![Action::Send { to, message }];
        }
        let entry = Entry {
            index: self.log.len() as u64 + 1,
            term: 1,
            command,
            membership: None,
        };
        self.log.push(entry.clone());
        let mut out: Vec<Action> = self.peers.iter().map(|p| self.append_to(p)).collect();
        out.push(Action::Apply {
            entries: vec![entry],
        });
        out
    }

    fn message(&mut self, from: EntryName, message: Message) -> Vec<Action> {
        match message {
            Message::Forward { command } => self.propose(command),
            Message::Reply(reply) => {
                self.applied.insert(from, reply.applied_index);
                Vec::new()
            }
            Message::Append { entries, .. } => {
                let next = self.log.len() as u64 + 1;
                let new: Vec<Entry> = entries.into_iter().filter(|e| e.index >= next).collect();
                if new.first().is_none_or(|e| e.index != next) {
                    return vec![self.report()];
                }
                self.log.extend(new.iter().cloned());
                vec![Action::Apply { entries: new }, self.report()]
            }
            Message::ForwardChange { .. }
            | Message::Found { .. }
            | Message::FoundReply { .. }
            | Message::Vote(_)
            | Message::VoteReply { .. }
            | Message::Resign { .. }
            | Message::Chunk { .. } => Vec::new(),
        }
    }

    fn applied_by(&self, peer: &EntryName) -> u64 {
        self.applied.get(peer).copied().unwrap_or(0)
    }

    fn append_to(&self, peer: &EntryName) -> Action {
        let from = usize::try_from(self.applied_by(peer)).unwrap_or(usize::MAX);
        Action::Send {
            to: peer.clone(),
            message: Message::Append {
                beat: Beat {
                    term: 1,
                    sent_ms: 0,
                    heard: None,
                    acked: None,
                    commit_index: self.log.len() as u64,
                },
                prev_index: self.applied_by(peer),
                prev_term: 1,
                entries: self.log.iter().skip(from).cloned().collect(),
            },
        }
    }

    fn report(&self) -> Action {
        let index = self.log.len() as u64;
        Action::Send {
            to: self.leader.clone(),
            message: Message::Reply(Reply {
                term: 1,
                echo_ms: 0,
                stamp: Stamp { start: 0, at_ms: 0 },
                incarnation: None,
                applied_index: index,
                outcome: ReplyOutcome::Matched { index },
            }),
        }
    }
}
