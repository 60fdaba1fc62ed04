use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::maintenance::{Fleet, FleetCommand};
use crate::model::{
    Capacity, ChangeId, EntryName, InstanceName, RequestKey, RowKey, VersionedRow, ZoneName,
};
use crate::table;

use super::changes::Changes;
use super::claims::Claims;
use super::clock::Clock;
use super::entries::{Arrival, Entries};
use super::jobs::Jobs;
use super::rows::Rows;
use super::stamp::Stamp;
use super::tombstones::Tombstones;
use super::{
    Change, Claim, ClaimReply, Command, EntryState, Fingerprint, Job, JobId, JobReply, NewJob,
    Reply, RowChange, RowStep,
};

/// Everything the entry instances agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    clock: Clock,
    entries: Entries,
    changes: Changes,
    rows: Rows,
    fleet: Fleet,
    capacities: BTreeMap<InstanceName, Capacity>,
    claims: Claims,
    jobs: Jobs,
    tombstones: Tombstones,
}

impl State {
    /// Applies one command. One that was applied before gets its first reply
    /// and changes nothing.
    pub fn apply(&mut self, command: &Command) -> Reply {
        let over = match self.entries.arrive(&command.id) {
            Arrival::Fresh { over } => over,
            Arrival::Repeated(Some(reply)) => return reply,
            Arrival::Repeated(None) => return self.first_reply(&command.change),
            Arrival::Superseded => return Reply::Superseded,
            Arrival::StaleIncarnation => return Reply::StaleIncarnation,
        };
        let id = &command.id;
        let clock_ms = self.clock.advance(&id.entry, command.at_unix_ms);
        let stamp = Stamp {
            entry: &id.entry,
            incarnation: id.incarnation,
            at_unix_ms: command.at_unix_ms,
            clock_ms,
        };
        self.expire(clock_ms);
        if let Some(incarnation) = over {
            self.settle(stamp, &id.entry, incarnation);
        }
        let reply = self.change(stamp, &command.change);
        let kept = (!reply.is_large()).then(|| reply.clone());
        self.entries.remember(id, kept);
        reply
    }

    /// The first reply to a command whose reply was too large to keep twice.
    fn first_reply(&self, change: &Change) -> Reply {
        let first = match change {
            Change::PutRows {
                change,
                operator,
                rows,
                confirm_jump,
            } => digest(&(operator, rows, confirm_jump))
                .and_then(|content| self.changes.replay(change, content)),
            _ => None,
        };
        first.unwrap_or(Reply::Duplicate)
    }

    fn change(&mut self, stamp: Stamp<'_>, change: &Change) -> Reply {
        match change {
            Change::PutRows {
                change,
                operator,
                rows,
                confirm_jump,
            } => self.put_rows(stamp, change, operator, rows, *confirm_jump),
            Change::Fleet {
                change,
                by,
                command,
            } => self.change_fleet(stamp, change.as_ref(), by, command),
            Change::Capacity { instance, capacity } => self.set_capacity(instance, *capacity),
            Change::EntrySeen { zone } => {
                self.entries.seen(stamp.entry, zone);
                Reply::Accepted
            }
            Change::EntryLost { entry, incarnation } => self.entry_lost(stamp, entry, *incarnation),
            Change::Claim { .. }
            | Change::ClaimAnswer { .. }
            | Change::ClaimRelease { .. }
            | Change::ClaimUnknown { .. } => self.change_claim(stamp, change),
            _ => self.change_job(stamp, change),
        }
    }

    fn change_claim(&mut self, stamp: Stamp<'_>, change: &Change) -> Reply {
        match change {
            Change::Claim {
                key,
                fingerprint,
                request,
            } => {
                // A key that stands for a patient job is not free for a claim.
                if self.jobs.of_key(key).is_some() {
                    return Reply::Claim(ClaimReply::Conflict);
                }
                let promised = self.promised();
                let claims = &mut self.claims;
                Reply::Claim(claims.claim(
                    stamp,
                    &self.tombstones,
                    promised,
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
            } => self
                .claims
                .answer(stamp, &mut self.tombstones, key, *fence, *status, body),
            Change::ClaimRelease { key, fence } => self.claims.release(key, *fence),
            Change::ClaimUnknown { key, fence } => self.claims.unknown(stamp, key, *fence),
            _ => Reply::Duplicate,
        }
    }

    fn change_job(&mut self, stamp: Stamp<'_>, change: &Change) -> Reply {
        let jobs = &mut self.jobs;
        match change {
            Change::JobAccept(new) => Reply::Job(self.accept_job(stamp, new)),
            Change::JobAssign {
                job,
                fence,
                owner,
                incarnation,
            } => {
                if !self.entries.is_present(owner, *incarnation) {
                    return Reply::StaleIncarnation;
                }
                jobs.assign(stamp, job, *fence, owner, *incarnation)
            }
            Change::JobCheckpoint { job, fence, data } => {
                jobs.checkpoint(stamp, &mut self.tombstones, job, *fence, data)
            }
            Change::JobDone {
                job,
                fence,
                status,
                body,
            } => jobs.done(stamp, &mut self.tombstones, job, *fence, *status, body),
            Change::JobNotRun { job, fence } => jobs.not_run(stamp, job, *fence),
            Change::JobLost { job, fence } => jobs.lost(stamp, job, *fence),
            Change::JobRefused { job, fence, reason } => jobs.refuse(stamp, job, *fence, *reason),
            Change::JobCancel { job } => Reply::Job(jobs.cancel(stamp, job)),
            _ => Reply::Duplicate,
        }
    }

    fn accept_job(&mut self, stamp: Stamp<'_>, new: &NewJob) -> JobReply {
        if self.claims.get(&new.key).is_some() {
            return JobReply::Conflict;
        }
        let promised = self.promised();
        self.jobs.accept(stamp, &mut self.tombstones, promised, new)
    }

    fn put_rows(
        &mut self,
        stamp: Stamp<'_>,
        change: &ChangeId,
        operator: &str,
        rows: &[RowChange],
        confirm_jump: bool,
    ) -> Reply {
        let Some(content) = digest(&(operator, rows, confirm_jump)) else {
            return Reply::ChangeReused;
        };
        if let Some(reply) = self.changes.replay(change, content) {
            return reply;
        }
        let errors = table::check(rows, confirm_jump, self);
        let reply = if errors.is_empty() {
            for row in rows {
                self.rows.put(row, change, operator, stamp.at_unix_ms);
            }
            Reply::Accepted
        } else {
            Reply::Rows(errors)
        };
        self.changes.keep(change, content, reply.clone());
        reply
    }

    fn change_fleet(
        &mut self,
        stamp: Stamp<'_>,
        change: Option<&ChangeId>,
        by: &str,
        command: &FleetCommand,
    ) -> Reply {
        let used = match change {
            None => None,
            Some(change) => match digest(&(by, command)) {
                None => return Reply::ChangeReused,
                Some(content) => Some((change, content)),
            },
        };
        if let Some((change, content)) = used
            && let Some(reply) = self.changes.replay(change, content)
        {
            return reply;
        }
        let reply = match self.fleet.apply(stamp.at_unix_ms, command) {
            Ok(()) => Reply::Accepted,
            Err(refusal) => Reply::Fleet(refusal),
        };
        if self.capacities.len() > self.fleet.instances().len() {
            let there = self.fleet.instances();
            self.capacities.retain(|name, _| there.contains_key(name));
        }
        if let Some((change, content)) = used {
            self.changes.keep(change, content, reply.clone());
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

    fn entry_lost(&mut self, stamp: Stamp<'_>, entry: &EntryName, incarnation: u64) -> Reply {
        if !self.entries.lose(entry, incarnation) {
            return Reply::StaleIncarnation;
        }
        self.clock.forget(entry);
        self.settle(stamp, entry, incarnation);
        Reply::Accepted
    }

    /// Settles what an entry instance had in flight up to an incarnation.
    fn settle(&mut self, stamp: Stamp<'_>, entry: &EntryName, incarnation: u64) {
        self.claims.entry_lost(stamp, entry, incarnation);
        self.jobs.entry_lost(stamp, entry, incarnation);
    }

    fn expire(&mut self, clock_ms: u64) {
        self.claims.expire(&mut self.tombstones, clock_ms);
        self.jobs.expire(&mut self.tombstones, clock_ms);
        self.tombstones.expire(clock_ms);
    }

    /// Keys that may still need a tombstone.
    fn promised(&self) -> usize {
        self.claims.len() + self.jobs.len()
    }

    /// Rows in force.
    pub fn rows(&self) -> &BTreeMap<RowKey, VersionedRow> {
        self.rows.live()
    }

    /// A row's version, also of a removed one; 0 if there never was one.
    pub fn row_version(&self, key: &RowKey) -> u64 {
        self.rows.version(key)
    }

    /// The kept changes of a row, oldest first.
    pub fn row_trail(&self, key: &RowKey) -> impl Iterator<Item = &RowStep> {
        self.rows.trail(key)
    }

    /// Pools, instances and waves.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// What the instances say they can carry.
    pub fn capacities(&self) -> &BTreeMap<InstanceName, Capacity> {
        &self.capacities
    }

    /// Entry instances by name.
    pub fn entries(&self) -> &BTreeMap<EntryName, EntryState> {
        self.entries.by_name()
    }

    /// Availability zones that an entry instance or an upstream is in.
    pub fn zones(&self) -> BTreeSet<&ZoneName> {
        let entries = self.entries().values().filter_map(|e| e.zone.as_ref());
        let instances = self.fleet.instances().values().map(|i| &i.zone);
        entries.chain(instances).collect()
    }

    /// The claim on a key, if it is kept.
    pub fn claim(&self, key: &RequestKey) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// The job of an id, if it is kept.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// The job of a key, if it is kept.
    pub fn job_of_key(&self, key: &RequestKey) -> Option<&Job> {
        self.jobs.of_key(key)
    }

    /// Jobs that wait to be assigned, in the order of their acceptance.
    pub fn ready_jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.ready()
    }

    /// Jobs that this start of an entry instance is to run.
    pub fn jobs_owned(&self, by: &EntryName, incarnation: u64) -> impl Iterator<Item = &Job> {
        self.jobs
            .assigned()
            .filter(move |job| job.is_owned(by, incarnation))
    }

    /// What the state holds of keys and jobs.
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

/// How much the state holds, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// Claims kept, in flight or ended.
    pub claims: usize,
    /// Bytes of stored answers.
    pub answer_bytes: u64,
    /// Patient jobs kept, open or ended.
    pub jobs: usize,
    /// Bytes of jobs' bodies, checkpoints and answers.
    pub job_bytes: u64,
    /// Used keys remembered without an answer.
    pub tombstones: usize,
}

/// Digest of a change's content; none if it has no encoding.
fn digest(content: &impl Serialize) -> Option<Fingerprint> {
    bincode::serde::encode_to_vec(content, bincode::config::standard())
        .ok()
        .map(|bytes| Fingerprint::of_bytes(&bytes))
}
