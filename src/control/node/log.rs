//! The replicated log: proposes commands and applies committed entries.

use super::Node;
use crate::consensus::{Action, Entry, Input};
use crate::control::{Command, Effect, PeerMessage, State};

impl Node {
    /// Passes an input to the replica and carries out the actions that it returns.
    pub(super) fn step_replica(&mut self, now_ms: u64, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.replica.handle(now_ms, input) {
                match action {
                    Action::Send { to, message } => self.send(to, PeerMessage::Log(message)),
                    Action::Persist { token, records } => {
                        self.out.push(Effect::Persist { token, records });
                    }
                    Action::Apply { entries } => {
                        for entry in entries {
                            self.apply(now_ms, &entry);
                        }
                    }
                    Action::Restore { index, data } => self.restore(index, &data),
                    Action::TakeSnapshot => inputs.push(Input::SnapshotTaken {
                        index: self.applied_index,
                        data: self.state.encode(),
                    }),
                }
            }
        }
    }

    fn restore(&mut self, index: u64, data: &[u8]) {
        match State::decode(data) {
            Ok(state) => {
                // The leader state was derived from the previous replicated state.
                self.end_leadership();
                self.state = state;
                self.applied_index = index;
            }
            Err(err) => tracing::error!(%err, "log: a snapshot cannot be decoded"),
        }
    }

    fn apply(&mut self, now_ms: u64, entry: &Entry) {
        self.applied_index = entry.index;
        if entry.command.is_empty() {
            return;
        }
        match crate::codec::decode::<Command>(&entry.command) {
            Ok(command) => {
                self.state.apply(&command);
                self.on_command_applied(now_ms, &command);
            }
            Err(err) => {
                tracing::error!(index = entry.index, %err, "log: an entry cannot be decoded");
            }
        }
    }

    /// Proposes the changes that are queued.
    pub(super) fn propose_pending(&mut self, now_ms: u64) {
        let at_unix_ms = self.clock.unix_ms(now_ms);
        loop {
            let Some(lead) = &mut self.leader_state else {
                return;
            };
            let Some(command) = lead.pending.next(now_ms, at_unix_ms) else {
                return;
            };
            let command = crate::codec::encode(&command);
            self.step_replica(now_ms, Input::Propose { command });
        }
    }
}
