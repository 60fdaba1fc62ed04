use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::maintenance::{Fleet, FleetCommand};
use crate::model::{
    Capacity, ChangeId, EntryName, InstanceName, RequestKey, RowKey, VersionedRow, ZoneName,
};
use crate::table;

use super::change_replies::ChangeReplies;
use super::claims::Claims;
use super::clock::Clock;
use super::command_context::CommandContext;
use super::entries::{CommandStatus, Entries};
use super::jobs::Jobs;
use super::rows::Rows;
use super::tombstones::Tombstones;
use super::{
    Change, Claim, ClaimReply, Command, EntryState, Fingerprint, JobId, JobReply, NewJob,
    PatientJob, Reply, RowChange, RowStep,
};

/// The replicated state, on which all entry instances agree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    clock: Clock,
    entries: Entries,
    #[serde(rename = "changes")]
    change_replies: ChangeReplies,
    rows: Rows,
    fleet: Fleet,
    capacities: BTreeMap<InstanceName, Capacity>,
    claims: Claims,
    jobs: Jobs,
    tombstones: Tombstones,
}

impl State {
    /// Applies a command and returns its reply. A command that was applied before
    /// changes nothing and gets its first reply.
    pub fn apply(&mut self, command: &Command) -> Reply {
        let ended_incarnation = match self.entries.check_command(&command.id) {
            CommandStatus::New { ended_incarnation } => ended_incarnation,
            CommandStatus::Repeated(Some(reply)) => return reply,
            CommandStatus::Repeated(None) => return self.reply_to_repeated(&command.change),
            CommandStatus::Superseded => return Reply::Superseded,
            CommandStatus::StaleIncarnation => return Reply::StaleIncarnation,
        };
        let id = &command.id;
        let clock_ms = self.clock.advance(&id.entry, command.at_unix_ms);
        let context = CommandContext {
            entry: &id.entry,
            incarnation: id.incarnation,
            at_unix_ms: command.at_unix_ms,
            clock_ms,
        };
        self.expire(clock_ms);
        if let Some(incarnation) = ended_incarnation {
            self.settle_lost_entry(context, &id.entry, incarnation);
        }
        let reply = self.apply_change(context, &command.change);
        let kept = (!reply.is_large()).then(|| reply.clone());
        self.entries.record_reply(id, kept);
        reply
    }

    /// Returns the reply to a repeated command whose first reply was too large to
    /// keep for deduplication. The replies to operators' changes of rows are kept
    /// by change id as well.
    fn reply_to_repeated(&self, change: &Change) -> Reply {
        let first_reply = match change {
            Change::PutRows {
                change,
                operator,
                rows,
                confirm_jump,
            } => digest(&(operator, rows, confirm_jump))
                .and_then(|content| self.change_replies.replay(change, content)),
            _ => None,
        };
        first_reply.unwrap_or(Reply::Duplicate)
    }

    fn apply_change(&mut self, context: CommandContext<'_>, change: &Change) -> Reply {
        match change {
            Change::PutRows {
                change,
                operator,
                rows,
                confirm_jump,
            } => self.put_rows(context, change, operator, rows, *confirm_jump),
            Change::Fleet {
                change,
                by,
                command,
            } => self.apply_fleet_command(context, change.as_ref(), by, command),
            Change::Capacity { instance, capacity } => self.set_capacity(instance, *capacity),
            Change::EntrySeen { zone } => {
                self.entries.set_zone(context.entry, zone);
                Reply::Accepted
            }
            Change::EntryLost { entry, incarnation } => {
                self.mark_entry_lost(context, entry, *incarnation)
            }
            Change::Claim { .. }
            | Change::ClaimAnswer { .. }
            | Change::ClaimRelease { .. }
            | Change::ClaimUnknown { .. } => self.apply_claim_change(context, change),
            _ => self.apply_job_change(context, change),
        }
    }

    fn apply_claim_change(&mut self, context: CommandContext<'_>, change: &Change) -> Reply {
        match change {
            Change::Claim {
                key,
                fingerprint,
                request,
            } => {
                // The key of a patient job cannot be claimed.
                if self.jobs.get_by_key(key).is_some() {
                    return Reply::Claim(ClaimReply::Conflict);
                }
                let reserved = self.reserved_tombstones();
                let claims = &mut self.claims;
                Reply::Claim(claims.claim(
                    context,
                    &self.tombstones,
                    reserved,
                    key,
                    *fingerprint,
                    *request,
                ))
            }
            Change::ClaimAnswer {
                key,
                fence,
                status,
                body,
            } => {
                self.claims
                    .record_answer(context, &mut self.tombstones, key, *fence, *status, body)
            }
            Change::ClaimRelease { key, fence } => self.claims.release(key, *fence),
            Change::ClaimUnknown { key, fence } => self.claims.mark_unknown(context, key, *fence),
            _ => Reply::Duplicate,
        }
    }

    fn apply_job_change(&mut self, context: CommandContext<'_>, change: &Change) -> Reply {
        let jobs = &mut self.jobs;
        match change {
            Change::JobAccept(new) => Reply::Job(self.accept_job(context, new)),
            Change::JobAssign {
                job,
                fence,
                owner,
                incarnation,
            } => {
                if !self.entries.is_present(owner, *incarnation) {
                    return Reply::StaleIncarnation;
                }
                jobs.assign(context, job, *fence, owner, *incarnation)
            }
            Change::JobCheckpoint { job, fence, data } => {
                jobs.record_checkpoint(context, &mut self.tombstones, job, *fence, data)
            }
            Change::JobDone {
                job,
                fence,
                status,
                body,
            } => jobs.complete(context, &mut self.tombstones, job, *fence, *status, body),
            Change::JobNotRun { job, fence } => jobs.record_not_run(context, job, *fence),
            Change::JobLost { job, fence } => jobs.record_lost(context, job, *fence),
            Change::JobRefused { job, fence, reason } => jobs.refuse(context, job, *fence, *reason),
            Change::JobCancel { job } => Reply::Job(jobs.cancel(context, job)),
            _ => Reply::Duplicate,
        }
    }

    fn accept_job(&mut self, context: CommandContext<'_>, new: &NewJob) -> JobReply {
        if self.claims.get(&new.key).is_some() {
            return JobReply::Conflict;
        }
        let reserved = self.reserved_tombstones();
        self.jobs
            .accept(context, &mut self.tombstones, reserved, new)
    }

    fn put_rows(
        &mut self,
        context: CommandContext<'_>,
        change: &ChangeId,
        operator: &str,
        rows: &[RowChange],
        confirm_jump: bool,
    ) -> Reply {
        let Some(content) = digest(&(operator, rows, confirm_jump)) else {
            return Reply::ChangeReused;
        };
        if let Some(reply) = self.change_replies.replay(change, content) {
            return reply;
        }
        let errors = table::check(rows, confirm_jump, self);
        let reply = if errors.is_empty() {
            for row in rows {
                self.rows.put(row, change, operator, context.at_unix_ms);
            }
            Reply::Accepted
        } else {
            Reply::Rows(errors)
        };
        self.change_replies.record(change, content, reply.clone());
        reply
    }

    fn apply_fleet_command(
        &mut self,
        context: CommandContext<'_>,
        change: Option<&ChangeId>,
        by: &str,
        command: &FleetCommand,
    ) -> Reply {
        let change_and_content = match change {
            None => None,
            Some(change) => match digest(&(by, command)) {
                None => return Reply::ChangeReused,
                Some(content) => Some((change, content)),
            },
        };
        if let Some((change, content)) = change_and_content
            && let Some(reply) = self.change_replies.replay(change, content)
        {
            return reply;
        }
        let reply = match self.fleet.apply(context.at_unix_ms, command) {
            Ok(()) => Reply::Accepted,
            Err(refusal) => Reply::Fleet(refusal),
        };
        if self.capacities.len() > self.fleet.instances().len() {
            let instances = self.fleet.instances();
            self.capacities
                .retain(|name, _| instances.contains_key(name));
        }
        if let Some((change, content)) = change_and_content {
            self.change_replies.record(change, content, reply.clone());
        }
        reply
    }

    fn set_capacity(&mut self, instance: &InstanceName, capacity: Capacity) -> Reply {
        if !self.fleet.instances().contains_key(instance) {
            return Reply::UnknownInstance;
        }
        self.capacities.insert(instance.clone(), capacity);
        Reply::Accepted
    }

    fn mark_entry_lost(
        &mut self,
        context: CommandContext<'_>,
        entry: &EntryName,
        incarnation: u64,
    ) -> Reply {
        if !self.entries.mark_lost(entry, incarnation) {
            return Reply::StaleIncarnation;
        }
        self.clock.remove(entry);
        self.settle_lost_entry(context, entry, incarnation);
        Reply::Accepted
    }

    /// Settles the claims and jobs that an entry instance had in flight, up to an
    /// incarnation.
    fn settle_lost_entry(
        &mut self,
        context: CommandContext<'_>,
        entry: &EntryName,
        incarnation: u64,
    ) {
        self.claims.settle_lost_entry(context, entry, incarnation);
        self.jobs.settle_lost_entry(context, entry, incarnation);
    }

    fn expire(&mut self, clock_ms: u64) {
        self.claims.expire(&mut self.tombstones, clock_ms);
        self.jobs.expire(&mut self.tombstones, clock_ms);
        self.tombstones.expire(clock_ms);
    }

    /// The number of keys that may still need a tombstone.
    fn reserved_tombstones(&self) -> usize {
        self.claims.len() + self.jobs.len()
    }

    /// The rows in force.
    pub fn rows(&self) -> &BTreeMap<RowKey, VersionedRow> {
        self.rows.live()
    }

    /// Returns the version of a row, also of a removed one; 0 if the row is
    /// unknown.
    pub fn row_version(&self, key: &RowKey) -> u64 {
        self.rows.version(key)
    }

    /// The changes kept of a row, oldest first.
    pub fn row_trail(&self, key: &RowKey) -> impl Iterator<Item = &RowStep> {
        self.rows.trail(key)
    }

    /// The pools, instances and waves.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The capacities that the instances report.
    pub fn capacities(&self) -> &BTreeMap<InstanceName, Capacity> {
        &self.capacities
    }

    /// The entry instances by name.
    pub fn entries(&self) -> &BTreeMap<EntryName, EntryState> {
        self.entries.by_name()
    }

    /// The availability zones that have an entry instance or an upstream.
    pub fn zones(&self) -> BTreeSet<&ZoneName> {
        let entries = self.entries().values().filter_map(|e| e.zone.as_ref());
        let instances = self.fleet.instances().values().map(|i| &i.zone);
        entries.chain(instances).collect()
    }

    /// Returns the claim on a key, if it is kept.
    pub fn claim(&self, key: &RequestKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Returns the job with this id, if it is kept.
    pub fn job(&self, id: &JobId) -> Option<&PatientJob> {
        self.jobs.get(id)
    }

    /// Returns the job with this key, if it is kept.
    pub fn job_by_key(&self, key: &RequestKey) -> Option<&PatientJob> {
        self.jobs.get_by_key(key)
    }

    /// The jobs that wait to be assigned, in the order of their acceptance.
    pub fn ready_jobs(&self) -> impl Iterator<Item = &PatientJob> {
        self.jobs.ready()
    }

    /// The jobs assigned to this incarnation of an entry instance.
    pub fn jobs_owned(
        &self,
        by: &EntryName,
        incarnation: u64,
    ) -> impl Iterator<Item = &PatientJob> {
        self.jobs
            .assigned()
            .filter(move |job| job.is_owned_by(by, incarnation))
    }

    /// Returns how many keys and jobs the state holds, and their sizes.
    pub fn usage(&self) -> Usage {
        Usage {
            claims: self.claims.len(),
            answer_bytes: self.claims.answer_bytes(),
            jobs: self.jobs.len(),
            job_bytes: self.jobs.bytes(),
            tombstones: self.tombstones.len(),
        }
    }
}

/// Numbers and sizes of the keys and jobs in the state, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Number of claims kept, in flight or ended.
    pub claims: usize,
    /// Total size of the stored answers, in bytes.
    pub answer_bytes: u64,
    /// Number of patient jobs kept, open or ended.
    pub jobs: usize,
    /// Total size of the jobs' bodies, checkpoints and answers, in bytes.
    pub job_bytes: u64,
    /// Number of tombstones: used keys whose answer is no longer kept.
    pub tombstones: usize,
}

/// Returns the digest of a change's content; none if it has no encoding.
fn digest(content: &impl Serialize) -> Option<Fingerprint> {
    bincode::serde::encode_to_vec(content, bincode::config::standard())
        .ok()
        .map(|bytes| Fingerprint::of_bytes(&bytes))
}
