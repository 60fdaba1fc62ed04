//! Cluster creation, which requires all initial voters to be empty.
//!
//! A voter that lost its disk is indistinguishable from a new one. If a quorum of empty
//! data folders could create a cluster, losing two disks of three would create an empty
//! cluster, and every accepted row on the third would be lost. So the founder, which is
//! the first voter by name, waits until every other voter has replied that it has no
//! log and never voted. Only then does it write the first membership, with the
//! incarnation of each voter, as the first entry of the log.

use std::collections::BTreeMap;

use crate::model::EntryName;

use super::{Entry, Membership, Message, Record, Replica};

/// State of the founder while it creates the cluster.
#[derive(Debug, Default)]
pub(super) struct Bootstrap {
    /// Voters that replied that they are empty, with their incarnations.
    empty_voters: BTreeMap<EntryName, u64>,
    /// Time of the last question to the other voters.
    last_asked_ms: Option<u64>,
}

impl Replica {
    /// On the founder: asks the other initial voters, once per heartbeat interval,
    /// whether they are empty.
    pub(super) fn tick_bootstrap(&mut self, now_ms: u64) {
        let heartbeat_ms = self.settings.heartbeat_ms;
        let due = self
            .bootstrap
            .last_asked_ms
            .is_none_or(|at| now_ms >= at + heartbeat_ms);
        let Some(founder) = self.incarnation.filter(|_| due && self.is_founder()) else {
            return;
        };
        self.bootstrap.last_asked_ms = Some(now_ms);
        self.create_cluster_if_all_empty(now_ms, founder);
        for to in self.settings.voters.clone() {
            if to != self.settings.me {
                self.send(to, Message::Found { founder });
            }
        }
    }

    pub(super) fn handle_found(&mut self, from: EntryName, founder: u64) {
        let Some(incarnation) = self.incarnation else {
            return;
        };
        let message = Message::FoundReply {
            founder,
            incarnation,
            empty: self.has_no_history(),
        };
        self.send(from, message);
    }

    pub(super) fn handle_found_reply(
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
            self.bootstrap.empty_voters.insert(from, incarnation);
        } else {
            self.bootstrap.empty_voters.remove(&from);
        }
        self.create_cluster_if_all_empty(now_ms, founder);
    }

    fn create_cluster_if_all_empty(&mut self, now_ms: u64, founder: u64) {
        let mut voters = self.bootstrap.empty_voters.clone();
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
        self.settings.voters.iter().min() == Some(&self.settings.me) && self.has_no_history()
    }

    /// Returns whether this replica never voted and has an empty log.
    fn has_no_history(&self) -> bool {
        self.hard.term == 0 && self.log.last_index() == 0
    }
}
