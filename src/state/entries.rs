use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::{EntryName, ZoneName};

use super::{CommandId, Reply};

/// Sequence numbers of each entry instance for which replies are kept, so that
/// a repeated command is recognised. At 1,000 commands a second this spans four
/// seconds, well over the time after which a proposer asks again.
pub const DEDUP_WINDOW_COMMANDS: u64 = 4_096;

/// An entry instance as the replicated state knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Its current incarnation.
    pub incarnation: u64,
    /// Its availability zone, once it was reported.
    pub zone: Option<ZoneName>,
    /// Whether it was declared lost after its last command.
    pub lost: bool,
    #[serde(rename = "newest")]
    newest_sequence: u64,
    /// Replies by sequence number; none where the reply was too large to keep.
    replies: BTreeMap<u64, Option<Reply>>,
}

/// Whether a command is to be applied.
pub(super) enum CommandStatus {
    /// The command is new and is to be applied. If the entry instance has
    /// restarted, its work up to `ended_incarnation` is to be settled first.
    New { ended_incarnation: Option<u64> },
    /// The command was applied before, with this reply if it was kept.
    Repeated(Option<Reply>),
    /// The command is outside the deduplication window.
    Superseded,
    /// The command is from an incarnation that has ended.
    StaleIncarnation,
}

/// The entry instances and the replies to their latest commands.
///
/// The log may hold one command twice: its proposer asks again after a timeout,
/// or a forwarded message is duplicated. If it were applied twice, a claim that
/// was released meanwhile would be granted to a request that has ended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Entries {
    by_name: BTreeMap<EntryName, EntryState>,
}

impl Entries {
    /// The entry instances by name.
    pub fn by_name(&self) -> &BTreeMap<EntryName, EntryState> {
        &self.by_name
    }

    /// Tells whether a command is new, and records the proposer's incarnation.
    pub fn check_command(&mut self, id: &CommandId) -> CommandStatus {
        let Some(entry) = self.by_name.get_mut(&id.entry) else {
            self.by_name
                .insert(id.entry.clone(), EntryState::new(id.incarnation));
            return CommandStatus::New {
                ended_incarnation: None,
            };
        };
        if id.incarnation < entry.incarnation {
            return CommandStatus::StaleIncarnation;
        }
        if id.incarnation > entry.incarnation {
            let ended_incarnation = Some(entry.incarnation);
            let zone = entry.zone.take();
            *entry = EntryState::new(id.incarnation);
            entry.zone = zone;
            return CommandStatus::New { ended_incarnation };
        }
        if let Some(reply) = entry.replies.get(&id.sequence) {
            return CommandStatus::Repeated(reply.clone());
        }
        if id.sequence.saturating_add(DEDUP_WINDOW_COMMANDS) <= entry.newest_sequence {
            return CommandStatus::Superseded;
        }
        entry.lost = false;
        CommandStatus::New {
            ended_incarnation: None,
        }
    }

    /// Records the reply to a command; none if it is too large to keep.
    pub fn record_reply(&mut self, id: &CommandId, reply: Option<Reply>) {
        let Some(entry) = self.by_name.get_mut(&id.entry) else {
            return;
        };
        entry.newest_sequence = entry.newest_sequence.max(id.sequence);
        entry.replies.insert(id.sequence, reply);
        let oldest_kept = entry
            .newest_sequence
            .saturating_sub(DEDUP_WINDOW_COMMANDS - 1);
        while let Some(first) = entry.replies.first_entry() {
            if *first.key() >= oldest_kept {
                return;
            }
            first.remove();
        }
    }

    /// Records an entry instance's availability zone.
    pub fn set_zone(&mut self, name: &EntryName, zone: &ZoneName) {
        if let Some(entry) = self.by_name.get_mut(name) {
            entry.zone = Some(zone.clone());
        }
    }

    /// Marks an entry instance as lost; returns false if the incarnation is not
    /// the current one.
    pub fn mark_lost(&mut self, name: &EntryName, incarnation: u64) -> bool {
        match self.by_name.get_mut(name) {
            Some(entry) if entry.incarnation == incarnation => {
                entry.lost = true;
                true
            }
            _ => false,
        }
    }

    /// Whether this is the entry instance's current incarnation and it is not
    /// marked as lost.
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
            newest_sequence: 0,
            replies: BTreeMap::new(),
        }
    }
}
