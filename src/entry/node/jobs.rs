//! Patient jobs assigned to this entry instance, and requests about jobs.

use crate::load::RequestId;
use crate::model::{Class, DesiredState, Outcome, RefusalReason};
use crate::state::{
    Change, Fence, JobId, JobPhase, JobReply, MAX_JOB_PART_BYTES, PatientJob, Reply,
};

use super::super::open::{OpenRequest, Origin};
use super::super::{CallAnswer, CallId, Effect, JobView};
use super::answers::{not_run, truncate_answer};
use super::callers::{attempt_timeout_ms, shared_bytes};
use super::{COMPLETION_PROPOSAL_TIMEOUT_MS, Node, Purpose, SYSTEM_PROPOSAL_TIMEOUT_MS};

/// How long a job may wait at one entry instance before it is returned to the leader,
/// which may find a better place.
const MAX_JOB_HOLD_MS: u64 = 15_000;
/// Shortest delay before a refused job is submitted to the dispatcher again.
const MIN_JOB_RETRY_DELAY_MS: u64 = 200;
/// Longest such delay.
const MAX_JOB_RETRY_DELAY_MS: u64 = 5_000;
/// Nominal deadline of a job's attempt. No caller waits for it; the attempt timeout
/// bounds it.
const JOB_DEADLINE_MS: u64 = 7 * 24 * 3_600_000;

/// A job that the dispatcher refused and that is submitted again later.
#[derive(Debug)]
pub(super) struct HeldJob {
    job: JobId,
    fence: Fence,
    since_ms: u64,
    retry_at_ms: u64,
}

impl Node {
    /// Starts the attempt of a job that was assigned to this entry instance, once per
    /// fencing token.
    ///
    /// The log may hold an assignment twice, and a snapshot repeats it for a job that
    /// is in flight here. If each started an attempt, a job that may run only once
    /// would run twice at once. A job that is assigned again after it was returned has
    /// a new fencing token.
    pub(super) fn start_job_once(&mut self, now_ms: u64, id: &JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.state.job(id).filter(|job| self.is_owner(job)) else {
            return;
        };
        let fence = job.fence;
        if self.started_jobs.insert(id.clone(), fence) != Some(fence) {
            self.start_job(now_ms, id, out);
        }
    }

    /// Forgets started jobs that this incarnation no longer owns.
    pub(super) fn prune_started_jobs(&mut self) {
        let mut started = std::mem::take(&mut self.started_jobs);
        started.retain(|id, _| self.state.job(id).is_some_and(|job| self.is_owner(job)));
        self.started_jobs = started;
    }

    /// Forgets one started job if this incarnation no longer owns it.
    pub(super) fn prune_started_job(&mut self, id: &JobId) {
        if !self.state.job(id).is_some_and(|job| self.is_owner(job)) {
            self.started_jobs.remove(id);
        }
    }

    fn start_job(&mut self, now_ms: u64, job: &JobId, out: &mut Vec<Effect>) {
        let Some(job) = self
            .state
            .job(job)
            .filter(|job| self.is_owner(job))
            .cloned()
        else {
            return;
        };
        let Some(attempt_timeout_ms) = self.job_attempt_timeout_ms(&job) else {
            let reason = RefusalReason::UnknownService;
            return self.refuse_job(now_ms, &job.id, job.fence, reason, out);
        };
        let request = self.next_request();
        let fence = job.fence;
        let open = OpenRequest {
            origin: Origin::Job { job: job.id, fence },
            service: job.service,
            team: job.team,
            caller: job.caller,
            class: Class::Patient,
            idempotent: job.idempotent,
            key: Some(job.key),
            body: shared_bytes(&job.body),
            deadline_ms: now_ms + JOB_DEADLINE_MS,
            attempt_timeout_ms,
            answer: None,
            offered: false,
        };
        self.requests.insert(request, open);
        self.submit_to_dispatcher(now_ms, request, out);
    }

    fn is_owner(&self, job: &PatientJob) -> bool {
        matches!(
            &job.phase,
            JobPhase::Assigned { owner, incarnation, .. }
                if *owner == self.settings.me && *incarnation == self.settings.incarnation
        )
    }

    fn job_attempt_timeout_ms(&self, job: &PatientJob) -> Option<u64> {
        let pool = self.state.fleet().carrier(&job.service)?;
        let service = pool.services.iter().find(|s| s.name == job.service)?;
        Some(attempt_timeout_ms(service))
    }

    /// The checkpoint from which the next attempt of a job resumes.
    pub(super) fn latest_checkpoint(&self, origin: &Origin) -> Option<Vec<u8>> {
        match origin {
            Origin::Job { job, .. } => self.state.job(job)?.checkpoint.clone(),
            Origin::Call { .. } => None,
        }
    }

    /// Requests checkpoints of jobs on draining instances, so that a reboot does not
    /// wait for hours. Jobs that may run only once are left to finish where they are.
    pub(super) fn request_checkpoints(&mut self, out: &mut Vec<Effect>) {
        for (of, instance) in &self.attempt_instances {
            let state = self.state.fleet().instances().get(instance);
            let is_draining = state.is_some_and(|i| i.duty != DesiredState::Serving);
            let open = self.requests.get(&of.0);
            let movable =
                open.is_some_and(|o| o.idempotent && matches!(o.origin, Origin::Job { .. }));
            if is_draining
                && movable
                && self.requested_checkpoints.insert(*of)
                && let Some(known) = self.directory.get(instance)
            {
                out.push(Effect::Checkpoint {
                    address: known.report.address.clone(),
                    request: of.0,
                    attempt: of.1,
                });
            }
        }
    }

    /// Stores a checkpoint in the replicated state; the next attempt resumes from it.
    pub(super) fn store_checkpoint(
        &mut self,
        now_ms: u64,
        request: RequestId,
        data: Vec<u8>,
        out: &mut Vec<Effect>,
    ) {
        let Some(Origin::Job { job, fence }) = self.requests.get(&request).map(|o| &o.origin)
        else {
            return;
        };
        let change = Change::JobCheckpoint {
            job: job.clone(),
            fence: *fence,
            data,
        };
        self.open_proposal(
            now_ms,
            change,
            Purpose::System,
            COMPLETION_PROPOSAL_TIMEOUT_MS,
            out,
        );
    }

    /// Handles the outcome of an attempt of a job.
    pub(super) fn finish_job(
        &mut self,
        now_ms: u64,
        request: RequestId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        let Origin::Job { job, fence } = open.origin else {
            return;
        };
        let change = match outcome {
            Outcome::Done { status, body } => Change::JobDone {
                job,
                fence,
                status,
                body: truncate_answer(&body, MAX_JOB_PART_BYTES),
            },
            Outcome::Unknown => Change::JobLost { job, fence },
            Outcome::NotRun {
                reason: reason @ (RefusalReason::NeverFits | RefusalReason::UnknownService),
                ..
            } => return self.refuse_job(now_ms, &job, fence, reason, out),
            Outcome::NotRun { retry_after_ms, .. } => {
                let delay_ms = retry_after_ms.unwrap_or(MAX_JOB_RETRY_DELAY_MS);
                let retry_at_ms =
                    now_ms + delay_ms.clamp(MIN_JOB_RETRY_DELAY_MS, MAX_JOB_RETRY_DELAY_MS);
                let since_ms = self.hold_start_ms(&job, now_ms);
                let held = HeldJob {
                    job,
                    fence,
                    since_ms,
                    retry_at_ms,
                };
                return self.held_jobs.push(held);
            }
        };
        self.clear_hold(&change);
        self.open_proposal(
            now_ms,
            change,
            Purpose::System,
            COMPLETION_PROPOSAL_TIMEOUT_MS,
            out,
        );
    }

    fn refuse_job(
        &mut self,
        now_ms: u64,
        job: &JobId,
        fence: Fence,
        reason: RefusalReason,
        out: &mut Vec<Effect>,
    ) {
        self.job_hold_since_ms.remove(job);
        let change = Change::JobRefused {
            job: job.clone(),
            fence,
            reason,
        };
        self.open_proposal(
            now_ms,
            change,
            Purpose::System,
            COMPLETION_PROPOSAL_TIMEOUT_MS,
            out,
        );
    }

    fn hold_start_ms(&mut self, job: &JobId, now_ms: u64) -> u64 {
        *self.job_hold_since_ms.entry(job.clone()).or_insert(now_ms)
    }

    fn clear_hold(&mut self, change: &Change) {
        if let Change::JobDone { job, .. } | Change::JobLost { job, .. } = change {
            self.job_hold_since_ms.remove(job);
        }
    }

    /// Submits held jobs to the dispatcher again, or returns them to the leader.
    pub(super) fn retry_held_jobs(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.held_jobs.is_empty() {
            return;
        }
        let stopping = self.refuses_new();
        let (due, later): (Vec<HeldJob>, Vec<HeldJob>) = std::mem::take(&mut self.held_jobs)
            .into_iter()
            .partition(|held| stopping || held.retry_at_ms <= now_ms);
        self.held_jobs = later;
        for held in due {
            if stopping || held.since_ms + MAX_JOB_HOLD_MS <= now_ms {
                self.job_hold_since_ms.remove(&held.job);
                let change = Change::JobNotRun {
                    job: held.job,
                    fence: held.fence,
                };
                self.open_proposal(
                    now_ms,
                    change,
                    Purpose::System,
                    COMPLETION_PROPOSAL_TIMEOUT_MS,
                    out,
                );
            } else {
                self.start_job(now_ms, &held.job, out);
            }
        }
    }

    /// Answers a query for the state of a job.
    pub(super) fn answer_job_query(&self, id: CallId, job: &str, out: &mut Vec<Effect>) {
        let job = JobId::from(job);
        let view = self.state.job(&job).map_or(JobView::NotFound, job_view);
        let answer = CallAnswer::Job(view);
        out.push(Effect::AnswerCall { id, answer });
    }

    pub(super) fn propose_job_cancel(
        &mut self,
        now_ms: u64,
        id: CallId,
        job: &str,
        out: &mut Vec<Effect>,
    ) {
        let change = Change::JobCancel {
            job: JobId::from(job),
        };
        let purpose = Purpose::CancelJob(id);
        self.open_proposal(now_ms, change, purpose, SYSTEM_PROPOSAL_TIMEOUT_MS, out);
    }

    /// Answers a call that asked to cancel a job.
    pub(super) fn answer_job_cancel(&self, id: CallId, reply: &Reply, out: &mut Vec<Effect>) {
        let view = match reply {
            Reply::Job(JobReply::Noted) => JobView::Ended(not_run(RefusalReason::Cancelled, None)),
            Reply::Job(JobReply::Started) => JobView::Running,
            Reply::Job(JobReply::Ended) => JobView::Over,
            _ => JobView::NotFound,
        };
        let answer = CallAnswer::Job(view);
        out.push(Effect::AnswerCall { id, answer });
    }
}

fn job_view(job: &PatientJob) -> JobView {
    match &job.phase {
        JobPhase::Ready => JobView::Waiting,
        JobPhase::Assigned { .. } => JobView::Running,
        JobPhase::Done { status, body, .. } => JobView::Ended(Outcome::Done {
            status: *status,
            body: body.clone(),
        }),
        JobPhase::Unknown { .. } => JobView::Ended(Outcome::Unknown),
        JobPhase::Refused { reason, .. } => JobView::Ended(not_run(*reason, None)),
        JobPhase::Cancelled { .. } => JobView::Ended(not_run(RefusalReason::Cancelled, None)),
    }
}
