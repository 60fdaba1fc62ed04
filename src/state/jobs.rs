use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{EntryName, RefusalReason, RequestKey};

use super::stamp::Stamp;
use super::tombstones::{Fate, Tombstones};
use super::{Fence, Job, JobId, JobPhase, JobReply, NewJob, Reply, Trail, TrailEvent};

/// How long an ended job is kept with its answer, in milliseconds: a week, the
/// period of the weekly report that reads it.
pub const JOB_RETENTION_MS: u64 = 7 * 24 * 60 * 60 * 1_000;

/// Bytes of bodies, checkpoints and answers in all. Over it the oldest ended
/// jobs go first; while open jobs alone fill it, no new job is taken.
pub const MAX_JOBS_BYTES: u64 = 64 * 1024 * 1024;

/// Bytes of one job's body, checkpoint or answer.
pub const MAX_JOB_PART_BYTES: u64 = 256 * 1024;

/// Jobs kept at once, open or ended.
pub const MAX_JOBS: usize = 100_000;

/// HTTP status of a job that ran and whose answer is too large to keep.
pub const STATUS_TOO_LARGE: u16 = 507;

/// What is kept in its place.
const TOO_LARGE: &str = "it ran once; its answer is too large to be kept\n";

/// Patient jobs, by id and by the caller's key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Jobs {
    by_id: BTreeMap<JobId, Job>,
    by_key: BTreeMap<RequestKey, JobId>,
    ready: BTreeMap<u64, JobId>,
    assigned: BTreeSet<JobId>,
    ended: BTreeSet<(u64, JobId)>,
    bytes: u64,
    last_order: u64,
}

impl Jobs {
    /// The job of an id, if it is kept.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.by_id.get(id)
    }

    /// The job of a key, if it is kept.
    pub fn of_key(&self, key: &RequestKey) -> Option<&Job> {
        self.by_id.get(self.by_key.get(key)?)
    }

    /// Jobs that wait to be assigned, in the order of their acceptance.
    pub fn ready(&self) -> impl Iterator<Item = &Job> {
        self.ready.values().filter_map(|id| self.by_id.get(id))
    }

    /// Jobs that some entry instance runs.
    pub fn assigned(&self) -> impl Iterator<Item = &Job> {
        self.assigned.iter().filter_map(|id| self.by_id.get(id))
    }

    /// Jobs kept, open or ended.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Bytes held.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Takes a job in, or says what became of the one under its key.
    pub fn accept(
        &mut self,
        stamp: Stamp<'_>,
        tombstones: &mut Tombstones,
        promised: usize,
        new: &NewJob,
    ) -> JobReply {
        if let Some(job) = self.of_key(&new.key) {
            return if job.fingerprint == new.fingerprint {
                JobReply::Accepted {
                    job: job.id.clone(),
                }
            } else {
                JobReply::Conflict
            };
        }
        match tombstones.fate(&new.key) {
            Some(Fate::Ran) => return JobReply::Expired,
            Some(Fate::Unknown) => return JobReply::Unknown,
            None => {}
        }
        if new.body.len() as u64 > MAX_JOB_PART_BYTES {
            return JobReply::TooLarge {
                limit_bytes: MAX_JOB_PART_BYTES,
            };
        }
        self.shrink(tombstones, stamp.clock_ms, new.body.len() as u64);
        let bytes = self.bytes + new.body.len() as u64;
        if bytes > MAX_JOBS_BYTES || self.len() >= MAX_JOBS || tombstones.is_full(promised) {
            return JobReply::Full;
        }
        // Ids are the entry instances' to keep apart; a clash must not replace
        // an accepted job.
        if self.by_id.contains_key(&new.job) {
            return JobReply::Conflict;
        }
        self.insert(stamp, new);
        JobReply::Accepted {
            job: new.job.clone(),
        }
    }

    fn insert(&mut self, stamp: Stamp<'_>, new: &NewJob) {
        self.last_order += 1;
        let fence = Fence(1);
        let mut trail = Trail::default();
        trail.push(stamp.step(fence, TrailEvent::Accepted));
        let job = Job {
            id: new.job.clone(),
            key: new.key.clone(),
            fingerprint: new.fingerprint,
            service: new.service.clone(),
            team: new.team.clone(),
            caller: new.caller.clone(),
            idempotent: new.idempotent,
            body: new.body.clone(),
            accepted_unix_ms: stamp.at_unix_ms,
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

    /// Gives a ready job to an entry instance that is present.
    pub fn assign(
        &mut self,
        stamp: Stamp<'_>,
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
            JobPhase::Assigned { .. } if job.is_owned(owner, incarnation) => {
                return Reply::Job(JobReply::Assigned { fence });
            }
            JobPhase::Assigned { .. } => return Reply::StaleFence,
            _ => return Reply::Job(JobReply::Ended),
        }
        let phase = JobPhase::Assigned {
            owner: owner.clone(),
            incarnation,
            since_unix_ms: stamp.at_unix_ms,
        };
        self.step(stamp, id, TrailEvent::Assigned);
        self.turn(id, phase);
        Reply::Job(JobReply::Assigned { fence })
    }

    /// Keeps where the next attempt may go on.
    pub fn checkpoint(
        &mut self,
        stamp: Stamp<'_>,
        tombstones: &mut Tombstones,
        id: &JobId,
        fence: Fence,
        data: &[u8],
    ) -> Reply {
        if let Err(reply) = self.open(id, fence) {
            return reply;
        }
        if data.len() as u64 > MAX_JOB_PART_BYTES {
            return Reply::Job(JobReply::TooLarge {
                limit_bytes: MAX_JOB_PART_BYTES,
            });
        }
        self.shrink(tombstones, stamp.clock_ms, data.len() as u64);
        if self.bytes + data.len() as u64 > MAX_JOBS_BYTES {
            return Reply::Job(JobReply::Full);
        }
        self.step(stamp, id, TrailEvent::Checkpoint);
        if let Some(job) = self.by_id.get_mut(id) {
            self.bytes -= job.bytes();
            job.checkpoint = Some(data.to_vec());
            self.bytes += job.bytes();
        }
        Reply::Job(JobReply::Noted)
    }

    /// Ends a job with its answer; only the present fence's counts.
    ///
    /// An answer over the limit is kept as its status with an empty body: the
    /// job did run, and refusing the word of it would run it again.
    pub fn done(
        &mut self,
        stamp: Stamp<'_>,
        tombstones: &mut Tombstones,
        id: &JobId,
        fence: Fence,
        status: u16,
        body: &[u8],
    ) -> Reply {
        if let Err(reply) = self.open(id, fence) {
            return reply;
        }
        // Neither a part of the answer nor an empty one: both would pass for
        // the whole.
        let (status, body) = if body.len() as u64 > MAX_JOB_PART_BYTES {
            (STATUS_TOO_LARGE, TOO_LARGE.as_bytes().to_vec())
        } else {
            (status, body.to_vec())
        };
        self.step(stamp, id, TrailEvent::Answered);
        self.turn(
            id,
            JobPhase::Done {
                at_unix_ms: stamp.clock_ms,
                status,
                body,
            },
        );
        self.shrink(tombstones, stamp.clock_ms, 0);
        Reply::Job(JobReply::Noted)
    }

    /// Makes a job ready again whose attempt certainly did not run.
    pub fn not_run(&mut self, stamp: Stamp<'_>, id: &JobId, fence: Fence) -> Reply {
        if let Err(reply) = self.open(id, fence) {
            return reply;
        }
        self.step(stamp, id, TrailEvent::NotRun);
        self.again(id);
        Reply::Job(JobReply::Noted)
    }

    /// Settles an attempt of which nobody knows whether it ran.
    pub fn lost(&mut self, stamp: Stamp<'_>, id: &JobId, fence: Fence) -> Reply {
        if let Err(reply) = self.open(id, fence) {
            return reply;
        }
        self.lose(stamp, id, TrailEvent::Lost);
        Reply::Job(JobReply::Noted)
    }

    /// Settles what a lost entry instance was running.
    pub fn entry_lost(&mut self, stamp: Stamp<'_>, lost: &EntryName, up_to: u64) {
        let ids: Vec<JobId> = self
            .assigned()
            .filter(|job| job.is_run_by(lost, up_to))
            .map(|job| job.id.clone())
            .collect();
        for id in ids {
            self.lose(stamp, &id, TrailEvent::EntryLost);
        }
    }

    /// Ends a job that can never run.
    pub fn refuse(
        &mut self,
        stamp: Stamp<'_>,
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
        self.step(stamp, id, TrailEvent::Refused);
        self.turn(
            id,
            JobPhase::Refused {
                at_unix_ms: stamp.clock_ms,
                reason,
            },
        );
        Reply::Job(JobReply::Noted)
    }

    /// Cancels a job that no entry instance has taken yet.
    pub fn cancel(&mut self, stamp: Stamp<'_>, id: &JobId) -> JobReply {
        let Some(job) = self.by_id.get(id) else {
            return JobReply::NotFound;
        };
        match job.phase {
            JobPhase::Ready => {}
            JobPhase::Assigned { .. } => return JobReply::Started,
            JobPhase::Cancelled { .. } => return JobReply::Noted,
            _ => return JobReply::Ended,
        }
        self.step(stamp, id, TrailEvent::Cancelled);
        self.turn(
            id,
            JobPhase::Cancelled {
                at_unix_ms: stamp.clock_ms,
            },
        );
        JobReply::Noted
    }

    /// Forgets jobs that ended more than [`JOB_RETENTION_MS`] ago.
    pub fn expire(&mut self, tombstones: &mut Tombstones, clock_ms: u64) {
        while let Some((at_ms, id)) = self.ended.first().cloned() {
            if at_ms.saturating_add(JOB_RETENTION_MS) > clock_ms {
                return;
            }
            self.bury(&id, tombstones, clock_ms);
        }
    }

    /// Checks that the fence may still say the job's outcome.
    fn open(&self, id: &JobId, fence: Fence) -> Result<(), Reply> {
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

    fn lose(&mut self, stamp: Stamp<'_>, id: &JobId, event: TrailEvent) {
        self.step(stamp, id, event);
        if self.by_id.get(id).is_some_and(|job| job.idempotent) {
            self.again(id);
        } else {
            // A second run might post a budget review twice: better no answer
            // than two. The one attempt may still say its outcome.
            self.turn(
                id,
                JobPhase::Unknown {
                    at_unix_ms: stamp.clock_ms,
                },
            );
        }
    }

    /// Makes a job ready under the next fence: the old attempt, should it still
    /// run, can no longer commit.
    fn again(&mut self, id: &JobId) {
        if let Some(job) = self.by_id.get_mut(id) {
            job.fence = job.fence.next();
        }
        self.turn(id, JobPhase::Ready);
    }

    fn step(&mut self, stamp: Stamp<'_>, id: &JobId, event: TrailEvent) {
        if let Some(job) = self.by_id.get_mut(id) {
            let step = stamp.step(job.fence, event);
            job.trail.push(step);
        }
    }

    /// Changes a job's phase and what hangs on it.
    fn turn(&mut self, id: &JobId, phase: JobPhase) {
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
            // Ended for good: nobody needs these any more.
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

    /// Drops an ended job; one that may have run leaves a tombstone.
    fn bury(&mut self, id: &JobId, tombstones: &mut Tombstones, clock_ms: u64) {
        let Some(job) = self.by_id.remove(id) else {
            return;
        };
        if let Some(at_ms) = job.ended_ms() {
            self.ended.remove(&(at_ms, id.clone()));
        }
        self.by_key.remove(&job.key);
        self.bytes -= job.bytes();
        match job.phase {
            JobPhase::Done { .. } => tombstones.bury(&job.key, Fate::Ran, clock_ms),
            JobPhase::Unknown { .. } => tombstones.bury(&job.key, Fate::Unknown, clock_ms),
            _ => {}
        }
    }

    /// Drops the oldest ended jobs until `room_bytes` more would fit.
    fn shrink(&mut self, tombstones: &mut Tombstones, clock_ms: u64, room_bytes: u64) {
        while self.bytes + room_bytes > MAX_JOBS_BYTES {
            let Some((_, id)) = self.ended.first().cloned() else {
                return;
            };
            self.bury(&id, tombstones, clock_ms);
        }
    }
}
