use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::{EntryName, ZoneName};

use super::{CommandId, Reply};

/// Proposals remembered of each entry instance. At 1,000 proposals a second it
/// spans four seconds, well over the time after which a proposer asks again.
pub const PROPOSALS_KEPT: u64 = 4_096;

/// An entry instance as the replicated state knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Its present start.
    pub incarnation: u64,
    /// Its availability zone, once it said so.
    pub zone: Option<ZoneName>,
    /// Whether it was taken for lost since its last command.
    pub lost: bool,
    newest: u64,
    replies: BTreeMap<u64, Option<Reply>>,
}

/// What to do with a command that arrives.
pub(super) enum Arrival {
    /// New: apply it. If the entry instance has started anew, everything up to
    /// this incarnation is over.
    Fresh { over: Option<u64> },
    /// Applied before, with this reply if it was kept.
    Repeated(Option<Reply>),
    /// Too old to tell.
    Superseded,
    /// From a start that is over.
    StaleIncarnation,
}

/// The entry instances and their latest proposals.
///
/// The log may hold one proposal twice: its proposer asks again after a
/// timeout, or a forward is doubled. Applied twice, a claim that was released
/// meanwhile would be granted to a request that is long over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Entries {
    by_name: BTreeMap<EntryName, EntryState>,
}

impl Entries {
    /// The entry instances by name.
    pub fn by_name(&self) -> &BTreeMap<EntryName, EntryState> {
        &self.by_name
    }

    /// Takes note of a command.
    pub fn arrive(&mut self, id: &CommandId) -> Arrival {
        let Some(entry) = self.by_name.get_mut(&id.entry) else {
            self.by_name
                .insert(id.entry.clone(), EntryState::new(id.incarnation));
            return Arrival::Fresh { over: None };
        };
        if id.incarnation < entry.incarnation {
            return Arrival::StaleIncarnation;
        }
        if id.incarnation > entry.incarnation {
            let over = Some(entry.incarnation);
            let zone = entry.zone.take();
            *entry = EntryState::new(id.incarnation);
            entry.zone = zone;
            return Arrival::Fresh { over };
        }
        if let Some(reply) = entry.replies.get(&id.sequence) {
            return Arrival::Repeated(reply.clone());
        }
        if id.sequence.saturating_add(PROPOSALS_KEPT) <= entry.newest {
            return Arrival::Superseded;
        }
        entry.lost = false;
        Arrival::Fresh { over: None }
    }

    /// Remembers the reply to a command; none if it is too large to keep.
    pub fn remember(&mut self, id: &CommandId, reply: Option<Reply>) {
        let Some(entry) = self.by_name.get_mut(&id.entry) else {
            return;
        };
        entry.newest = entry.newest.max(id.sequence);
        entry.replies.insert(id.sequence, reply);
        let floor = entry.newest.saturating_sub(PROPOSALS_KEPT - 1);
        while let Some(first) = entry.replies.first_entry() {
            if *first.key() >= floor {
                return;
            }
            first.remove();
        }
    }

    /// Notes an entry instance's availability zone.
    pub fn seen(&mut self, name: &EntryName, zone: &ZoneName) {
        if let Some(entry) = self.by_name.get_mut(name) {
            entry.zone = Some(zone.clone());
        }
    }

    /// Takes an entry instance for lost; false if that start is not the present.
    pub fn lose(&mut self, name: &EntryName, incarnation: u64) -> bool {
        match self.by_name.get_mut(name) {
            Some(entry) if entry.incarnation == incarnation => {
                entry.lost = true;
                true
            }
            _ => false,
        }
    }

    /// Whether this start of the entry instance is the present one and not lost.
    pub fn is_present(&self, name: &EntryName, incarnation: u64) -> bool {
        self.by_name
            .get(name)
            .is_some_and(|entry| entry.incarnation == incarnation && !entry.lost)
    }
}

impl EntryState {
    fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            zone: None,
            lost: false,
            newest: 0,
            replies: BTreeMap::new(),
        }
    }
}
