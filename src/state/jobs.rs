use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{EntryName, RefusalReason, RequestKey};

use super::command_context::CommandContext;
use super::tombstones::{KeyOutcome, Tombstones};
use super::{Fence, JobId, JobPhase, JobReply, NewJob, PatientJob, Reply, Trail, TrailEvent};

/// How long an ended job is kept with its answer, in milliseconds: a week, the
/// period of the weekly report that reads the answers.
pub const JOB_RETENTION_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// Largest total size of bodies, checkpoints and answers, in bytes. Over it the
/// oldest ended jobs are evicted first; while open jobs alone fill it, new jobs
/// are refused.
pub const MAX_JOBS_BYTES: u64 = 64 * 1024 * 1024;

/// Largest size of one job's body, checkpoint or answer, in bytes each.
pub const MAX_JOB_PART_BYTES: u64 = 256 * 1024;

/// Largest number of jobs kept, open or ended.
pub const MAX_JOBS: usize = 100_000;

/// HTTP status of a job that ran and whose answer is too large to keep.
pub const STATUS_TOO_LARGE: u16 = 507;

/// Body that replaces an answer that is too large to keep.
const TOO_LARGE_BODY: &str = "it ran once; its answer is too large to be kept\n";

/// Patient jobs, by id and by the caller's key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Jobs {
    by_id: BTreeMap<JobId, PatientJob>,
    by_key: BTreeMap<RequestKey, JobId>,
    /// Ready jobs by [`PatientJob::order`].
    ready: BTreeMap<u64, JobId>,
    assigned: BTreeSet<JobId>,
    /// Ended jobs by the time they ended.
    ended: BTreeSet<(u64, JobId)>,
    bytes: u64,
    last_order: u64,
}

impl Jobs {
    /// Returns the job with this id, if it is kept.
    pub fn get(&self, id: &JobId) -> Option<&PatientJob> {
        self.by_id.get(id)
    }

    /// Returns the job with this key, if it is kept.
    pub fn get_by_key(&self, key: &RequestKey) -> Option<&PatientJob> {
        self.by_id.get(self.by_key.get(key)?)
    }

    /// The jobs that wait to be assigned, in the order of their acceptance.
    pub fn ready(&self) -> impl Iterator<Item = &PatientJob> {
        self.ready.values().filter_map(|id| self.by_id.get(id))
    }

    /// The jobs that an entry instance runs.
    pub fn assigned(&self) -> impl Iterator<Item = &PatientJob> {
        self.assigned.iter().filter_map(|id| self.by_id.get(id))
    }

    /// The number of jobs kept, open or ended.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Total size of bodies, checkpoints and answers, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Accepts a new job; for a used key, returns the state of its job.
    pub fn accept(
        &mut self,
        context: CommandContext<'_>,
        tombstones: &mut Tombstones,
        reserved: usize,
        new: &NewJob,
    ) -> JobReply {
        if let Some(job) = self.get_by_key(&new.key) {
            return if job.fingerprint == new.fingerprint {
                JobReply::Accepted {
                    job: job.id.clone(),
                }
            } else {
                JobReply::Conflict
            };
        }
        match tombstones.outcome(&new.key) {
            Some(KeyOutcome::Ran) => return JobReply::Expired,
            Some(KeyOutcome::Unknown) => return JobReply::Unknown,
            None => {}
        }
        if new.body.len() as u64 > MAX_JOB_PART_BYTES {
            return JobReply::TooLarge {
                limit_bytes: MAX_JOB_PART_BYTES,
            };
        }
        self.evict_until_fits(tombstones, context.clock_ms, new.body.len() as u64);
        let bytes = self.bytes + new.body.len() as u64;
        if bytes > MAX_JOBS_BYTES || self.len() >= MAX_JOBS || tombstones.is_full(reserved) {
            return JobReply::Full;
        }
        // The entry instances are to choose unique ids; a duplicate must not
        // replace an accepted job.
        if self.by_id.contains_key(&new.job) {
            return JobReply::Conflict;
        }
        self.insert(context, new);
        JobReply::Accepted {
            job: new.job.clone(),
        }
    }

    fn insert(&mut self, context: CommandContext<'_>, new: &NewJob) {
        self.last_order += 1;
        let fence = Fence(1);
        let mut trail = Trail::default();
        trail.push(context.trail_step(fence, TrailEvent::Accepted));
        let job = PatientJob {
            id: new.job.clone(),
            key: new.key.clone(),
            fingerprint: new.fingerprint,
            service: new.service.clone(),
            team: new.team.clone(),
            caller: new.caller.clone(),
            idempotent: new.idempotent,
            body: new.body.clone(),
            accepted_unix_ms: context.at_unix_ms,
            fence,
            phase: JobPhase::Ready,
            checkpoint: None,
            trail,
            order: self.last_order,
        };
        self.bytes += job.bytes();
        self.by_key.insert(job.key.clone(), job.id.clone());
        self.ready.insert(job.order, job.id.clone());
        self.by_id.insert(job.id.clone(), job);
    }

    /// Assigns a ready job to an entry instance, which must be present.
    pub fn assign(
        &mut self,
        context: CommandContext<'_>,
        id: &JobId,
        fence: Fence,
        owner: &EntryName,
        incarnation: u64,
    ) -> Reply {
        let Some(job) = self.by_id.get(id) else {
            return Reply::Job(JobReply::NotFound);
        };
        if job.fence != fence {
            return Reply::StaleFence;
        }
        match &job.phase {
            JobPhase::Ready => {}
            JobPhase::Assigned { .. } if job.is_owned_by(owner, incarnation) => {
                return Reply::Job(JobReply::Assigned { fence });
            }
            JobPhase::Assigned { .. } => return Reply::StaleFence,
            _ => return Reply::Job(JobReply::Ended),
        }
        let phase = JobPhase::Assigned {
            owner: owner.clone(),
            incarnation,
            since_unix_ms: context.at_unix_ms,
        };
        self.record_step(context, id, TrailEvent::Assigned);
        self.set_phase(id, phase);
        Reply::Job(JobReply::Assigned { fence })
    }

    /// Stores the checkpoint from which the next attempt may resume.
    pub fn record_checkpoint(
        &mut self,
        context: CommandContext<'_>,
        tombstones: &mut Tombstones,
        id: &JobId,
        fence: Fence,
        data: &[u8],
    ) -> Reply {
        if let Err(reply) = self.check_open(id, fence) {
            return reply;
        }
        if data.len() as u64 > MAX_JOB_PART_BYTES {
            return Reply::Job(JobReply::TooLarge {
                limit_bytes: MAX_JOB_PART_BYTES,
            });
        }
        self.evict_until_fits(tombstones, context.clock_ms, data.len() as u64);
        if self.bytes + data.len() as u64 > MAX_JOBS_BYTES {
            return Reply::Job(JobReply::Full);
        }
        self.record_step(context, id, TrailEvent::Checkpoint);
        if let Some(job) = self.by_id.get_mut(id) {
            self.bytes -= job.bytes();
            job.checkpoint = Some(data.to_vec());
            self.bytes += job.bytes();
        }
        Reply::Job(JobReply::Noted)
    }

    /// Ends a job with its answer; an answer under another than the current
    /// fence is rejected.
    ///
    /// An answer over [`MAX_JOB_PART_BYTES`] is replaced by
    /// [`STATUS_TOO_LARGE`] and a short text: the job did run, and if its
    /// completion were refused, it would run again.
    pub fn complete(
        &mut self,
        context: CommandContext<'_>,
        tombstones: &mut Tombstones,
        id: &JobId,
        fence: Fence,
        status: u16,
        body: &[u8],
    ) -> Reply {
        if let Err(reply) = self.check_open(id, fence) {
            return reply;
        }
        // Neither a part of the answer nor an empty body is kept: the caller
        // would take either for the whole answer.
        let (status, body) = if body.len() as u64 > MAX_JOB_PART_BYTES {
            (STATUS_TOO_LARGE, TOO_LARGE_BODY.as_bytes().to_vec())
        } else {
            (status, body.to_vec())
        };
        self.record_step(context, id, TrailEvent::Answered);
        self.set_phase(
            id,
            JobPhase::Done {
                at_unix_ms: context.clock_ms,
                status,
                body,
            },
        );
        self.evict_until_fits(tombstones, context.clock_ms, 0);
        Reply::Job(JobReply::Noted)
    }

    /// Makes a job ready again after an attempt that certainly did not run.
    pub fn record_not_run(
        &mut self,
        context: CommandContext<'_>,
        id: &JobId,
        fence: Fence,
    ) -> Reply {
        if let Err(reply) = self.check_open(id, fence) {
            return reply;
        }
        self.record_step(context, id, TrailEvent::NotRun);
        self.requeue(id);
        Reply::Job(JobReply::Noted)
    }

    /// Settles an attempt that may have run.
    pub fn record_lost(&mut self, context: CommandContext<'_>, id: &JobId, fence: Fence) -> Reply {
        if let Err(reply) = self.check_open(id, fence) {
            return reply;
        }
        self.settle_lost_attempt(context, id, TrailEvent::Lost);
        Reply::Job(JobReply::Noted)
    }

    /// Settles the attempts that a lost entry instance was running, up to an
    /// incarnation.
    pub fn settle_lost_entry(&mut self, context: CommandContext<'_>, lost: &EntryName, up_to: u64) {
        let ids: Vec<JobId> = self
            .assigned()
            .filter(|job| job.is_run_by(lost, up_to))
            .map(|job| job.id.clone())
            .collect();
        for id in ids {
            self.settle_lost_attempt(context, &id, TrailEvent::EntryLost);
        }
    }

    /// Ends a job that can never run.
    pub fn refuse(
        &mut self,
        context: CommandContext<'_>,
        id: &JobId,
        fence: Fence,
        reason: RefusalReason,
    ) -> Reply {
        let Some(job) = self.by_id.get(id) else {
            return Reply::Job(JobReply::NotFound);
        };
        if job.ended_ms().is_some() {
            return Reply::Job(JobReply::Ended);
        }
        if job.fence != fence {
            return Reply::StaleFence;
        }
        self.record_step(context, id, TrailEvent::Refused);
        self.set_phase(
            id,
            JobPhase::Refused {
                at_unix_ms: context.clock_ms,
                reason,
            },
        );
        Reply::Job(JobReply::Noted)
    }

    /// Cancels a job that is not assigned.
    pub fn cancel(&mut self, context: CommandContext<'_>, id: &JobId) -> JobReply {
        let Some(job) = self.by_id.get(id) else {
            return JobReply::NotFound;
        };
        match job.phase {
            JobPhase::Ready => {}
            JobPhase::Assigned { .. } => return JobReply::Started,
            JobPhase::Cancelled { .. } => return JobReply::Noted,
            _ => return JobReply::Ended,
        }
        self.record_step(context, id, TrailEvent::Cancelled);
        self.set_phase(
            id,
            JobPhase::Cancelled {
                at_unix_ms: context.clock_ms,
            },
        );
        JobReply::Noted
    }

    /// Evicts jobs that ended [`JOB_RETENTION_MS`] or more ago.
    pub fn expire(&mut self, tombstones: &mut Tombstones, clock_ms: u64) {
        while let Some((at_ms, id)) = self.ended.first().cloned() {
            if at_ms.saturating_add(JOB_RETENTION_MS) > clock_ms {
                return;
            }
            self.evict(&id, tombstones, clock_ms);
        }
    }

    /// Checks that an outcome of the job is still accepted under this fence.
    ///
    /// # Errors
    /// The reply that rejects it.
    fn check_open(&self, id: &JobId, fence: Fence) -> Result<(), Reply> {
        let Some(job) = self.by_id.get(id) else {
            return Err(Reply::Job(JobReply::NotFound));
        };
        if job.fence != fence {
            return Err(Reply::StaleFence);
        }
        if !job.is_open() {
            return Err(Reply::Job(JobReply::Ended));
        }
        Ok(())
    }

    /// Makes an idempotent job ready again and marks any other as unknown.
    fn settle_lost_attempt(&mut self, context: CommandContext<'_>, id: &JobId, event: TrailEvent) {
        self.record_step(context, id, event);
        if self.by_id.get(id).is_some_and(|job| job.idempotent) {
            self.requeue(id);
        } else {
            // A second run could post a budget review twice, so the job is not
            // run again. The attempt may still report its outcome.
            self.set_phase(
                id,
                JobPhase::Unknown {
                    at_unix_ms: context.clock_ms,
                },
            );
        }
    }

    /// Makes a job ready under the next fence, so that the old attempt can no
    /// longer report an outcome if it still runs.
    fn requeue(&mut self, id: &JobId) {
        if let Some(job) = self.by_id.get_mut(id) {
            job.fence = job.fence.next();
        }
        self.set_phase(id, JobPhase::Ready);
    }

    fn record_step(&mut self, context: CommandContext<'_>, id: &JobId, event: TrailEvent) {
        if let Some(job) = self.by_id.get_mut(id) {
            let step = context.trail_step(job.fence, event);
            job.trail.push(step);
        }
    }

    /// Changes a job's phase and updates the indexes and the byte count.
    fn set_phase(&mut self, id: &JobId, phase: JobPhase) {
        let Some(job) = self.by_id.get_mut(id) else {
            return;
        };
        self.ready.remove(&job.order);
        self.assigned.remove(id);
        if let Some(at_ms) = job.ended_ms() {
            self.ended.remove(&(at_ms, id.clone()));
        }
        self.bytes -= job.bytes();
        job.phase = phase;
        if job.ended_ms().is_some() && !job.is_open() {
            // No further attempt can start, so these are not needed.
            job.body = Vec::new();
            job.checkpoint = None;
        }
        self.bytes += job.bytes();
        match job.phase {
            JobPhase::Ready => {
                self.ready.insert(job.order, id.clone());
            }
            JobPhase::Assigned { .. } => {
                self.assigned.insert(id.clone());
            }
            _ => {}
        }
        if let Some(at_ms) = job.ended_ms() {
            self.ended.insert((at_ms, id.clone()));
        }
    }

    /// Removes an ended job; if it ran or may have run, adds a tombstone.
    fn evict(&mut self, id: &JobId, tombstones: &mut Tombstones, clock_ms: u64) {
        let Some(job) = self.by_id.remove(id) else {
            return;
        };
        if let Some(at_ms) = job.ended_ms() {
            self.ended.remove(&(at_ms, id.clone()));
        }
        self.by_key.remove(&job.key);
        self.bytes -= job.bytes();
        match job.phase {
            JobPhase::Done { .. } => tombstones.insert(&job.key, KeyOutcome::Ran, clock_ms),
            JobPhase::Unknown { .. } => tombstones.insert(&job.key, KeyOutcome::Unknown, clock_ms),
            _ => {}
        }
    }

    /// Evicts the oldest ended jobs until `needed_bytes` more fit in
    /// [`MAX_JOBS_BYTES`], or no ended job is left.
    fn evict_until_fits(&mut self, tombstones: &mut Tombstones, clock_ms: u64, needed_bytes: u64) {
        while self.bytes + needed_bytes > MAX_JOBS_BYTES {
            let Some((_, id)) = self.ended.first().cloned() else {
                return;
            };
            self.evict(&id, tombstones, clock_ms);
        }
    }
}
