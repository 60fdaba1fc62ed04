//! How a cluster is created: by all of its first voters, while all are empty.
//!
//! A voter that lost its disk looks like one that is new. If a quorum of empty
//! folders could create a cluster, two lost disks of three would start an empty
//! one over the state of the third, and every accepted row would be gone. So the
//! first of the voters by name, the founder, needs an answer from each of the
//! others that it holds nothing and never voted, and only then writes the first
//! membership, with everybody's incarnation, as the log's first entry.

use std::collections::BTreeMap;

use crate::model::EntryName;

use super::{Entry, Membership, Message, Record, Replica};

/// What the founder has heard.
#[derive(Debug, Default)]
pub(super) struct Founding {
    empty: BTreeMap<EntryName, u64>,
    asked_ms: Option<u64>,
}

impl Replica {
    /// Asks the other first voters, if it is the founder.
    pub(super) fn found(&mut self, now_ms: u64) {
        let heartbeat_ms = self.settings.heartbeat_ms;
        let due = self
            .founding
            .asked_ms
            .is_none_or(|at| now_ms >= at + heartbeat_ms);
        let Some(founder) = self.incarnation.filter(|_| due && self.is_founder()) else {
            return;
        };
        self.founding.asked_ms = Some(now_ms);
        self.write_first_membership(now_ms, founder);
        for to in self.settings.voters.clone() {
            if to != self.settings.me {
                self.send(to, Message::Found { founder });
            }
        }
    }

    pub(super) fn asked_by_founder(&mut self, from: EntryName, founder: u64) {
        let Some(incarnation) = self.incarnation else {
            return;
        };
        let message = Message::FoundReply {
            founder,
            incarnation,
            empty: self.is_empty(),
        };
        self.send(from, message);
    }

    pub(super) fn founder_answered(
        &mut self,
        now_ms: u64,
        from: EntryName,
        founder: u64,
        incarnation: u64,
        empty: bool,
    ) {
        if self.incarnation != Some(founder) || !self.is_founder() {
            return;
        }
        if empty {
            self.founding.empty.insert(from, incarnation);
        } else {
            self.founding.empty.remove(&from);
        }
        self.write_first_membership(now_ms, founder);
    }

    fn write_first_membership(&mut self, now_ms: u64, founder: u64) {
        let mut voters = self.founding.empty.clone();
        voters.insert(self.settings.me.clone(), founder);
        if !self.settings.voters.iter().all(|v| voters.contains_key(v)) {
            return;
        }
        voters.retain(|name, _| self.settings.voters.contains(name));
        self.enter_term(now_ms, 1);
        let entry = Entry {
            index: 1,
            term: 1,
            command: Vec::new(),
            membership: Some(Membership::new(voters)),
        };
        self.journal.write(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    fn is_founder(&self) -> bool {
        self.settings.voters.iter().min() == Some(&self.settings.me) && self.is_empty()
    }

    /// Whether it never voted and holds nothing.
    fn is_empty(&self) -> bool {
        self.hard.term == 0 && self.log.last_index() == 0
    }
}
