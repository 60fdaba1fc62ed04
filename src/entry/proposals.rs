use std::collections::BTreeMap;

use crate::state::{Change, Command, CommandId};

/// Commands that this entry instance proposed and has not seen applied yet.
///
/// A proposal can be lost on its way to the leader, or with the leader. It is resent
/// until it is seen applied or times out; the replicated state detects a repeated
/// command by its id.
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

/// Time after which a proposal that was not seen applied is resent: several round trips
/// and two syncs of a healthy log, and shorter than an election.
const PROPOSAL_RESEND_MS: u64 = 400;

impl<P> Default for Proposals<P> {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
        }
    }
}

impl<P> Proposals<P> {
    /// Adds a command that is being proposed.
    pub fn open(&mut self, now_ms: u64, command: Command, purpose: P, timeout_ms: u64) {
        let open = OpenProposal {
            sent_ms: now_ms,
            expires_ms: now_ms.saturating_add(timeout_ms),
            command,
            purpose,
        };
        self.open.insert(open.command.id.sequence, open);
    }

    /// Removes an applied command; returns its purpose if it was open here.
    pub fn applied(&mut self, id: &CommandId) -> Option<P> {
        self.open.remove(&id.sequence).map(|open| open.purpose)
    }

    /// Returns the commands to resend, and marks them as sent now.
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

    /// Removes and returns the proposals that have timed out.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<(Change, P)> {
        let expired: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, open)| open.expires_ms <= now_ms)
            .map(|(sequence, _)| *sequence)
            .collect();
        expired
            .iter()
            .filter_map(|sequence| self.open.remove(sequence))
            .map(|open| (open.command.change, open.purpose))
            .collect()
    }
}
