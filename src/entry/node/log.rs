//! The replicated log: proposes commands, applies committed ones and passes replies to
//! whoever proposed them.

use crate::consensus::{self, Action, Input};
use crate::load::{self, View};
use crate::state::{Change, ClaimReply, Command, CommandId, Reply, State};

use super::super::{Effect, OperatorAnswer, PeerMessage};
use super::{COMPLETION_PROPOSAL_TIMEOUT_MS, Node, Purpose};

impl Node {
    pub(super) fn open_proposal(
        &mut self,
        now_ms: u64,
        change: Change,
        purpose: Purpose,
        timeout_ms: u64,
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
            .open(now_ms, command.clone(), purpose, timeout_ms);
        self.propose(now_ms, &command, out);
    }

    pub(super) fn propose(&mut self, now_ms: u64, command: &Command, out: &mut Vec<Effect>) {
        let command = crate::codec::encode(command);
        self.drive_replica(now_ms, Input::Propose { command }, out);
    }

    /// Passes an input to the replica and carries out the resulting actions.
    pub(super) fn drive_replica(&mut self, now_ms: u64, input: Input, out: &mut Vec<Effect>) {
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
            self.drive_dispatcher(now_ms, load::Input::View(view), out);
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
                let own_jobs: Vec<_> = self
                    .state
                    .jobs_owned(&self.settings.me, self.settings.incarnation)
                    .map(|job| job.id.clone())
                    .collect();
                self.prune_started_jobs();
                for job in own_jobs {
                    self.start_job_once(now_ms, &job, out);
                }
                self.settle_waiters(now_ms, out);
            }
            Err(err) => tracing::error!("log: a snapshot cannot be decoded: {err}"),
        }
    }

    /// Applies an entry; returns `true` if the dispatcher's view may have changed.
    fn apply(&mut self, now_ms: u64, entry: &consensus::Entry, out: &mut Vec<Effect>) -> bool {
        if entry.command.is_empty() {
            return false;
        }
        let Ok(command) = crate::codec::decode::<Command>(&entry.command) else {
            tracing::error!(
                "log: entry {} cannot be decoded and is skipped",
                entry.index
            );
            return false;
        };
        let reply = self.state.apply(&command);
        let is_own = command.id.entry == self.settings.me
            && command.id.incarnation == self.settings.incarnation;
        if is_own {
            self.handle_reply(now_ms, entry.index, &command, reply.clone(), out);
        }
        self.follow_up(now_ms, entry.index, &command, &reply, out);
        matches!(
            command.change,
            Change::PutRows { .. } | Change::Fleet { .. } | Change::Capacity { .. }
        )
    }

    /// Passes a reply to whoever waits for it.
    fn handle_reply(
        &mut self,
        now_ms: u64,
        index: u64,
        command: &Command,
        reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let Some(purpose) = self.proposals.applied(&command.id) else {
            return self.release_abandoned_claim(now_ms, command, &reply, out);
        };
        match purpose {
            Purpose::System => {}
            Purpose::Operator(id) => self.handle_operator_reply(now_ms, id, index, reply, out),
            Purpose::Claim(request) => {
                let reply = self.restore_claim_answer(command, reply);
                self.handle_claim_reply(now_ms, request, reply, out);
            }
            Purpose::Store(id) => self.answer_stored(id, out),
            Purpose::Accept(id) => self.answer_acceptance(id, reply, out),
            Purpose::CancelJob(id) => self.answer_job_cancel(id, &reply, out),
        }
    }

    /// Returns the claim's reply; one too large to be kept with its command id is
    /// rebuilt from the state.
    fn restore_claim_answer(&self, command: &Command, reply: Reply) -> Reply {
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

    /// Releases the key of a claim that was given up and is granted after all: nothing
    /// was sent under it, and without this the key would be held until this process
    /// ends.
    ///
    /// Only claims that were given up are released. The log may hold a claim twice, and
    /// the second copy is applied while the request of the first is in flight; if it
    /// released the key, the request would run again for a caller that resends it.
    fn release_abandoned_claim(
        &mut self,
        now_ms: u64,
        command: &Command,
        reply: &Reply,
        out: &mut Vec<Effect>,
    ) {
        if let Change::Claim { key, request, .. } = &command.change
            && let Reply::Claim(ClaimReply::Granted { fence }) = reply
            && self.abandoned_claims.remove(request)
        {
            let change = Change::ClaimRelease {
                key: key.clone(),
                fence: *fence,
            };
            self.open_proposal(
                now_ms,
                change,
                Purpose::System,
                COMPLETION_PROPOSAL_TIMEOUT_MS,
                out,
            );
        }
    }

    /// Does what an applied command requires of this entry instance.
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
                    self.start_job_once(now_ms, job, out);
                }
            }
            Change::PutRows { .. }
            | Change::Fleet {
                change: Some(_), ..
            } => self.confirm_in_force(index, command),
            Change::JobDone { job, .. }
            | Change::JobNotRun { job, .. }
            | Change::JobLost { job, .. }
            | Change::JobRefused { job, .. } => self.prune_started_job(job),
            Change::ClaimAnswer { .. }
            | Change::ClaimRelease { .. }
            | Change::ClaimUnknown { .. } => self.settle_waiters(now_ms, out),
            Change::EntryLost { .. } | Change::EntrySeen { .. } => {
                self.prune_started_jobs();
                self.settle_waiters(now_ms, out);
            }
            _ => {}
        }
    }

    /// Tells the proposer of an operator's change that the change is in force here.
    fn confirm_in_force(&mut self, index: u64, command: &Command) {
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

    pub(super) fn expire_proposals(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for (_, purpose) in self.proposals.take_expired(now_ms) {
            match purpose {
                Purpose::System => {}
                Purpose::Operator(id) => {
                    let line = "the replicated log did not confirm the change in time: \
                                send it again under the same change id";
                    let answer = OperatorAnswer::Unknown(line.into());
                    out.push(Effect::AnswerOperator { id, answer });
                }
                Purpose::Claim(request) => self.abandon_claim(now_ms, request, out),
                Purpose::Store(id) => self.answer_stored(id, out),
                Purpose::Accept(id) | Purpose::CancelJob(id) => {
                    self.answer_call(id, crate::model::Outcome::Unknown, out);
                }
            }
        }
    }
}
