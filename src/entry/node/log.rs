//! The replicated log: what is proposed, what is applied, and to whom its
//! replies belong.

use crate::consensus::{self, Action, Input};
use crate::load::{self, View};
use crate::state::{Change, ClaimReply, Command, CommandId, Reply, State};

use super::super::{Effect, OperatorAnswer, PeerMessage};
use super::{LONG_PATIENCE_MS, Node, Purpose};

impl Node {
    pub(super) fn open_proposal(
        &mut self,
        now_ms: u64,
        change: Change,
        purpose: Purpose,
        patience_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let command = Command {
            id: CommandId {
                entry: self.settings.me.clone(),
                incarnation: self.settings.incarnation,
                sequence: self.next_sequence,
            },
            at_unix_ms: self.unix_offset_ms + now_ms,
            change,
        };
        self.next_sequence += 1;
        self.proposals
            .open(now_ms, command.clone(), purpose, patience_ms);
        self.propose(now_ms, &command, out);
    }

    pub(super) fn propose(&mut self, now_ms: u64, command: &Command, out: &mut Vec<Effect>) {
        let command = crate::codec::encode(command);
        self.log(now_ms, Input::Propose { command }, out);
    }

    /// Gives the replica an input and carries out what it wants.
    pub(super) fn log(&mut self, now_ms: u64, input: Input, out: &mut Vec<Effect>) {
        let mut changed = false;
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.replica.handle(now_ms, input) {
                match action {
                    Action::Send { to, message } => {
                        let messages = self.outbox.entry(to).or_default();
                        messages.push(PeerMessage::Log(message));
                    }
                    Action::Persist { token, records } => {
                        out.push(Effect::Persist { token, records });
                    }
                    Action::Apply { entries } => {
                        for entry in entries {
                            self.applied_index = entry.index;
                            changed |= self.apply(now_ms, &entry, out);
                        }
                    }
                    Action::Restore { index, data } => {
                        changed = true;
                        self.restore(now_ms, index, &data, out);
                    }
                    Action::TakeSnapshot => inputs.extend(self.snapshot()),
                }
            }
        }
        if changed {
            let view = self.view();
            self.load(now_ms, load::Input::View(view), out);
        }
    }

    fn snapshot(&self) -> Option<Input> {
        match self.state.encode() {
            Ok(data) => Some(Input::SnapshotTaken {
                index: self.applied_index,
                data,
            }),
            Err(err) => {
                tracing::error!("log: no snapshot, the log grows on: {err}");
                None
            }
        }
    }

    fn restore(&mut self, now_ms: u64, index: u64, data: &[u8], out: &mut Vec<Effect>) {
        match State::decode(data) {
            Ok(state) => {
                self.state = state;
                self.applied_index = index;
                let mine: Vec<_> = self
                    .state
                    .jobs_owned(&self.settings.me, self.settings.incarnation)
                    .map(|job| job.id.clone())
                    .collect();
                self.forget_begun();
                for job in mine {
                    self.begin_job(now_ms, &job, out);
                }
                self.settle_waiters(now_ms, out);
            }
            Err(err) => tracing::error!("log: a snapshot cannot be read: {err}"),
        }
    }

    /// Applies an entry; `true` if the view of the dispatcher may have changed.
    fn apply(&mut self, now_ms: u64, entry: &consensus::Entry, out: &mut Vec<Effect>) -> bool {
        if entry.command.is_empty() {
            return false;
        }
        let Ok(command) = crate::codec::decode::<Command>(&entry.command) else {
            tracing::error!("log: entry {} cannot be read and is left out", entry.index);
            return false;
        };
        let reply = self.state.apply(&command);
        let mine = command.id.entry == self.settings.me
            && command.id.incarnation == self.settings.incarnation;
        if mine {
            self.replied(now_ms, entry.index, &command, reply.clone(), out);
        }
        self.follow_up(now_ms, entry.index, &command, &reply, out);
        matches!(
            command.change,
            Change::PutRows { .. } | Change::Fleet { .. } | Change::Capacity { .. }
        )
    }

    /// Hands a reply to whoever waits for it.
    fn replied(
        &mut self,
        now_ms: u64,
        index: u64,
        command: &Command,
        reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let Some(purpose) = self.proposals.applied(&command.id) else {
            return self.unexpected(now_ms, command, &reply, out);
        };
        match purpose {
            Purpose::System => {}
            Purpose::Operator(id) => self.operator_replied(now_ms, id, index, reply, out),
            Purpose::Claim(request) => {
                let reply = self.kept_reply(command, reply);
                self.claimed(now_ms, request, reply, out);
            }
            Purpose::Store(id) => self.stored(id, out),
            Purpose::Accept(id) => self.accepted(id, reply, out),
            Purpose::CancelJob(id) => self.job_cancelled(id, &reply, out),
        }
    }

    /// A reply too large to be kept beside its number is read off the state.
    fn kept_reply(&self, command: &Command, reply: Reply) -> Reply {
        use crate::state::ClaimPhase;
        if reply != Reply::Duplicate {
            return reply;
        }
        let Change::Claim { key, .. } = &command.change else {
            return reply;
        };
        match self.state.claim(key).map(|claim| &claim.phase) {
            Some(ClaimPhase::Answered { status, body, .. }) => Reply::Claim(ClaimReply::Answered {
                status: *status,
                body: body.clone(),
            }),
            _ => Reply::Claim(ClaimReply::Unknown),
        }
    }

    /// A claim that was given up is granted after all: nothing was sent under
    /// it, so the key is set free. Without this it would be held until this
    /// process ends.
    ///
    /// Only one that was given up: the log may hold a claim twice, and the second
    /// comes when the request of the first is under way. Set free then, the key
    /// runs again for a caller that sends it again.
    fn unexpected(&mut self, now_ms: u64, command: &Command, reply: &Reply, out: &mut Vec<Effect>) {
        if let Change::Claim { key, request, .. } = &command.change
            && let Reply::Claim(ClaimReply::Granted { fence }) = reply
            && self.claims_given_up.remove(request)
        {
            let change = Change::ClaimRelease {
                key: key.clone(),
                fence: *fence,
            };
            self.open_proposal(now_ms, change, Purpose::System, LONG_PATIENCE_MS, out);
        }
    }

    /// What an applied command asks of this entry instance.
    fn follow_up(
        &mut self,
        now_ms: u64,
        index: u64,
        command: &Command,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        match &command.change {
            Change::JobAssign { job, owner, .. } if *owner == self.settings.me => {
                if matches!(reply, Reply::Job(crate::state::JobReply::Assigned { .. })) {
                    self.begin_job(now_ms, job, out);
                }
            }
            Change::PutRows { .. }
            | Change::Fleet {
                change: Some(_), ..
            } => self.confirm(index, command),
            Change::JobDone { job, .. }
            | Change::JobNotRun { job, .. }
            | Change::JobLost { job, .. }
            | Change::JobRefused { job, .. } => self.forget_begun_job(job),
            Change::ClaimAnswer { .. }
            | Change::ClaimRelease { .. }
            | Change::ClaimUnknown { .. } => self.settle_waiters(now_ms, out),
            Change::EntryLost { .. } | Change::EntrySeen { .. } => {
                self.forget_begun();
                self.settle_waiters(now_ms, out);
            }
            _ => {}
        }
    }

    /// Tells the proposer of an operator's change that it is in force here.
    fn confirm(&mut self, index: u64, command: &Command) {
        if command.id.entry == self.settings.me {
            return;
        }
        let messages = self.outbox.entry(command.id.entry.clone()).or_default();
        messages.push(PeerMessage::InForce { index });
    }

    fn view(&self) -> View {
        let fleet = self.state.fleet();
        let rows = self.state.rows();
        View {
            pools: fleet.pools().clone(),
            carriers: fleet.carriers().clone(),
            instances: fleet.instances().clone(),
            rows: rows
                .iter()
                .map(|(key, row)| (key.clone(), row.row))
                .collect(),
        }
    }

    pub(super) fn given_up(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for (_, purpose) in self.proposals.given_up(now_ms) {
            match purpose {
                Purpose::System => {}
                Purpose::Operator(id) => {
                    let line = "the replicated log did not confirm the change in time: \
                                send it again under the same change id";
                    let answer = OperatorAnswer::Unknown(line.into());
                    out.push(Effect::AnswerOperator { id, answer });
                }
                Purpose::Claim(request) => self.claim_given_up(now_ms, request, out),
                Purpose::Store(id) => self.stored(id, out),
                Purpose::Accept(id) | Purpose::CancelJob(id) => {
                    self.answer_call(id, crate::model::Outcome::Unknown, out);
                }
            }
        }
    }
}
