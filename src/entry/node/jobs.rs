//! Patient jobs that this entry instance was given, and what is asked of jobs.

use crate::load::RequestId;
use crate::model::{Class, DesiredState, Outcome, RefusalReason};
use crate::state::{
    Change, Fence, JobId, JobPhase, JobReply, MAX_JOB_PART_BYTES, PatientJob, Reply,
};

use super::super::open::{Open, Origin};
use super::super::{CallAnswer, CallId, Effect, JobView};
use super::answers::{kept, not_run};
use super::callers::{attempt_ms, shared};
use super::{LONG_PATIENCE_MS, Node, Purpose, SYSTEM_PATIENCE_MS};

/// How long a job may wait at one entry instance before it is handed back to the
/// leader, which may know of a better place.
const HOLD_MS: u64 = 15_000;
/// Shortest pause before a job that was turned away is offered again.
const AGAIN_MIN_MS: u64 = 200;
/// Longest such pause.
const AGAIN_MAX_MS: u64 = 5_000;
/// A job's attempt has no caller that waits; it is bounded by its run time.
const NO_DEADLINE_MS: u64 = 7 * 24 * 3_600_000;

/// A job that was turned away here and is offered again.
#[derive(Debug)]
pub(super) struct Held {
    job: JobId,
    fence: Fence,
    since_ms: u64,
    again_ms: u64,
}

impl Node {
    /// Begins the attempt of a job that was given to this entry instance, once.
    ///
    /// The log may hold the giving twice, and a snapshot repeats it for a job that
    /// is under way here. Begun at each, a job that may run only once runs beside
    /// itself. A job that is given again after it was handed back has a new fence.
    pub(super) fn begin_job(&mut self, now_ms: u64, id: &JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.state.job(id).filter(|job| self.owns(job)) else {
            return;
        };
        let fence = job.fence;
        if self.jobs_begun.insert(id.clone(), fence) != Some(fence) {
            self.start_job(now_ms, id, out);
        }
    }

    /// Forgets the beginnings of jobs that are no longer this start's.
    pub(super) fn forget_begun(&mut self) {
        let mut begun = std::mem::take(&mut self.jobs_begun);
        begun.retain(|id, _| self.state.job(id).is_some_and(|job| self.owns(job)));
        self.jobs_begun = begun;
    }

    /// The same for one job, whose attempt may have ended.
    pub(super) fn forget_begun_job(&mut self, id: &JobId) {
        if !self.state.job(id).is_some_and(|job| self.owns(job)) {
            self.jobs_begun.remove(id);
        }
    }

    fn start_job(&mut self, now_ms: u64, job: &JobId, out: &mut Vec<Effect>) {
        let Some(job) = self.state.job(job).filter(|job| self.owns(job)).cloned() else {
            return;
        };
        let Some(attempt_ms) = self.job_attempt_ms(&job) else {
            let reason = RefusalReason::UnknownService;
            return self.refuse_job(now_ms, &job.id, job.fence, reason, out);
        };
        let request = self.next_request();
        let fence = job.fence;
        let open = Open {
            origin: Origin::Job { job: job.id, fence },
            service: job.service,
            team: job.team,
            caller: job.caller,
            class: Class::Patient,
            idempotent: job.idempotent,
            key: Some(job.key),
            body: shared(&job.body),
            deadline_ms: now_ms + NO_DEADLINE_MS,
            attempt_ms,
            answer: None,
            offered: false,
        };
        self.requests.insert(request, open);
        self.offer(now_ms, request, out);
    }

    fn owns(&self, job: &PatientJob) -> bool {
        matches!(
            &job.phase,
            JobPhase::Assigned { owner, incarnation, .. }
                if *owner == self.settings.me && *incarnation == self.settings.incarnation
        )
    }

    fn job_attempt_ms(&self, job: &PatientJob) -> Option<u64> {
        let pool = self.state.fleet().carrier(&job.service)?;
        let service = pool.services.iter().find(|s| s.name == job.service)?;
        Some(attempt_ms(service))
    }

    /// The checkpoint from which a job's attempt goes on.
    pub(super) fn checkpoint(&self, origin: &Origin) -> Option<Vec<u8>> {
        match origin {
            Origin::Job { job, .. } => self.state.job(job)?.checkpoint.clone(),
            Origin::Call { .. } => None,
        }
    }

    /// Asks for checkpoints of long work on instances that drain, so that a
    /// reboot does not wait for hours. Work that may run only once is left to
    /// finish where it is.
    pub(super) fn ask_for_checkpoints(&mut self, out: &mut Vec<Effect>) {
        for (of, instance) in &self.attempts_on {
            let stays = self.state.fleet().instances().get(instance);
            let drains = stays.is_some_and(|i| i.duty != DesiredState::Serving);
            let open = self.requests.get(&of.0);
            let movable =
                open.is_some_and(|o| o.idempotent && matches!(o.origin, Origin::Job { .. }));
            if drains
                && movable
                && self.checkpoints_asked.insert(*of)
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

    /// Makes a checkpoint durable; the next attempt goes on from it.
    pub(super) fn keep_checkpoint(
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
        self.open_proposal(now_ms, change, Purpose::System, LONG_PATIENCE_MS, out);
    }

    /// Ends an attempt of a job.
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
                body: kept(&body, MAX_JOB_PART_BYTES),
            },
            Outcome::Unknown => Change::JobLost { job, fence },
            Outcome::NotRun {
                reason: reason @ (RefusalReason::NeverFits | RefusalReason::UnknownService),
                ..
            } => return self.refuse_job(now_ms, &job, fence, reason, out),
            Outcome::NotRun { retry_after_ms, .. } => {
                let pause_ms = retry_after_ms.unwrap_or(AGAIN_MAX_MS);
                let again_ms = now_ms + pause_ms.clamp(AGAIN_MIN_MS, AGAIN_MAX_MS);
                let since_ms = self.held_since(&job, now_ms);
                let held = Held {
                    job,
                    fence,
                    since_ms,
                    again_ms,
                };
                return self.held.push(held);
            }
        };
        self.forget_hold(&change);
        self.open_proposal(now_ms, change, Purpose::System, LONG_PATIENCE_MS, out);
    }

    fn refuse_job(
        &mut self,
        now_ms: u64,
        job: &JobId,
        fence: Fence,
        reason: RefusalReason,
        out: &mut Vec<Effect>,
    ) {
        self.hold_since.remove(job);
        let change = Change::JobRefused {
            job: job.clone(),
            fence,
            reason,
        };
        self.open_proposal(now_ms, change, Purpose::System, LONG_PATIENCE_MS, out);
    }

    fn held_since(&mut self, job: &JobId, now_ms: u64) -> u64 {
        *self.hold_since.entry(job.clone()).or_insert(now_ms)
    }

    fn forget_hold(&mut self, change: &Change) {
        if let Change::JobDone { job, .. } | Change::JobLost { job, .. } = change {
            self.hold_since.remove(job);
        }
    }

    /// Offers held jobs again, or hands them back.
    pub(super) fn retry_held(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.held.is_empty() {
            return;
        }
        let stopping = self.refuses_new();
        let (due, later): (Vec<Held>, Vec<Held>) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|held| stopping || held.again_ms <= now_ms);
        self.held = later;
        for held in due {
            if stopping || held.since_ms + HOLD_MS <= now_ms {
                self.hold_since.remove(&held.job);
                let change = Change::JobNotRun {
                    job: held.job,
                    fence: held.fence,
                };
                self.open_proposal(now_ms, change, Purpose::System, LONG_PATIENCE_MS, out);
            } else {
                self.start_job(now_ms, &held.job, out);
            }
        }
    }

    /// Answers what became of a job.
    pub(super) fn job_query(&self, id: CallId, job: &str, out: &mut Vec<Effect>) {
        let job = JobId::from(job);
        let view = self.state.job(&job).map_or(JobView::NotFound, job_view);
        let answer = CallAnswer::Job(view);
        out.push(Effect::AnswerCall { id, answer });
    }

    pub(super) fn job_cancel(&mut self, now_ms: u64, id: CallId, job: &str, out: &mut Vec<Effect>) {
        let change = Change::JobCancel {
            job: JobId::from(job),
        };
        let purpose = Purpose::CancelJob(id);
        self.open_proposal(now_ms, change, purpose, SYSTEM_PATIENCE_MS, out);
    }

    /// Answers a call that wanted a job cancelled.
    pub(super) fn job_cancelled(&self, id: CallId, reply: &Reply, out: &mut Vec<Effect>) {
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
