use std::collections::BTreeMap;

use crate::state::{Change, Command, CommandId};

/// Commands this entry instance proposed and has not yet seen applied.
///
/// A proposal can be lost on its way to the leader or with the leader. It is
/// proposed again until it is seen applied or its patience ends; the replicated
/// state tells the repeated command apart by its id.
#[derive(Debug)]
pub struct Proposals<P> {
    open: BTreeMap<u64, OpenProposal<P>>,
}

#[derive(Debug)]
struct OpenProposal<P> {
    command: Command,
    purpose: P,
    sent_ms: u64,
    expires_ms: u64,
}

/// Time after which an unseen proposal is sent again: several round trips and
/// two syncs of a healthy log, and shorter than an election.
const PROPOSAL_RESEND_MS: u64 = 400;

impl<P> Default for Proposals<P> {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
        }
    }
}

impl<P> Proposals<P> {
    /// Takes charge of a command.
    pub fn open(&mut self, now_ms: u64, command: Command, purpose: P, timeout_ms: u64) {
        let open = OpenProposal {
            sent_ms: now_ms,
            expires_ms: now_ms.saturating_add(timeout_ms),
            command,
            purpose,
        };
        self.open.insert(open.command.id.sequence, open);
    }

    /// The purpose of an applied command, if it was proposed here and is open.
    pub fn applied(&mut self, id: &CommandId) -> Option<P> {
        self.open.remove(&id.sequence).map(|open| open.purpose)
    }

    /// Commands to send again.
    pub fn due(&mut self, now_ms: u64) -> Vec<Command> {
        let mut due = Vec::new();
        for open in self.open.values_mut() {
            if open.sent_ms + PROPOSAL_RESEND_MS <= now_ms {
                open.sent_ms = now_ms;
                due.push(open.command.clone());
            }
        }
        due
    }

    /// Number of open proposals.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Proposals whose patience has ended, with their purpose.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<(Change, P)> {
        let over: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| open.expires_ms <= now_ms)
            .map(|(sequence, _)| *sequence)
            .collect();
        over.iter()
            .filter_map(|sequence| self.open.remove(sequence))
            .map(|open| (open.command.change, open.purpose))
            .collect()
    }
}
