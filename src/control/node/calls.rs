//! The leader's handling of calls from callers, workers and operators.

use std::sync::Arc;

use super::held_calls::HeldCall;
use super::leader_state::{ProposedJob, Waiter};
use super::{CallOrigin, Node};
use crate::consensus::COMMAND_LIMIT_BYTES;
use crate::control::messages::job_from_path;
use crate::control::{
    Answer, Call, CancelledIds, Change, Configuration, ConfigurationFault, ConfigurationPart,
    ConfigurationParts, Credentials, Decision, Effect, JobMemory, Phase, Place, Queue, Refusal,
    Report, ResourceTotals, Wave, WorkerStart, Workspace,
};
use crate::jobs::{Job, JobId, JobSpec, JobState};
use crate::model::WorkspaceName;

/// Largest wave, in bytes as it is stored: half of what one command of the log holds.
const MAX_WAVE_BYTES: usize = COMMAND_LIMIT_BYTES / 2;

/// Memory that a job of ordinary size takes at most: some hundred tasks.
const ORDINARY_JOB_BYTES: usize = 256 << 10;
/// When a caller may come again whose job found no memory. Ends of jobs make room.
const NO_ROOM_RETRY_MS: u64 = 1_000;

impl Node {
    pub(super) fn answer_call(&mut self, now_ms: u64, caller: CallOrigin, call: Call) {
        match call {
            Call::Authorized { credentials, call } => {
                self.answer_caller(now_ms, caller, credentials, *call);
            }
            call => self.answer_caller(now_ms, caller, Credentials::Missing, call),
        }
    }

    fn answer_caller(
        &mut self,
        now_ms: u64,
        caller: CallOrigin,
        credentials: Credentials,
        call: Call,
    ) {
        let (started_unix_ms, call) = call.split_start();
        if let Some(lead) = &mut self.leader_state
            && lead.held_calls.must_hold(&call)
        {
            return lead.held_calls.add(HeldCall {
                caller,
                credentials,
                call,
            });
        }
        match call {
            Call::Submit { place, spec } => self.submit(caller, credentials, &place, spec),
            Call::Look { place } => {
                let answer = self.look_up(credentials, &place);
                self.answer(&caller, answer);
            }
            Call::Cancel { place } => self.cancel(caller, credentials, &place),
            Call::Since { call, .. } | Call::Authorized { call, .. } => {
                tracing::warn!(?call, "call: it is nested");
                let why = "the call is nested in itself: send it once".to_owned();
                self.answer(&caller, Answer::Refused(Refusal::Wrong(why)));
            }
            Call::Report(report) => self.accept_report(now_ms, caller, started_unix_ms, report),
            Call::Leave { worker } => {
                let start = self.check_worker_start(now_ms, &worker, started_unix_ms);
                let is_left = self.state.worker(&worker).is_none_or(|w| w.leaving);
                if is_left || start == WorkerStart::Earlier {
                    return self.answer(&caller, Answer::Done);
                }
                self.propose(Change::Leave { worker }, Some(Waiter::Call(caller)));
            }
            Call::Configure(configuration) => self.configure(now_ms, caller, configuration),
            Call::ConfigureParts(parts) => self.configure_parts(now_ms, caller, &parts),
            Call::ReadConfiguration => {
                let answer = match self.state.configuration() {
                    Some(c) => Answer::Configuration(Arc::clone(&c.document)),
                    None => Answer::Refused(Refusal::NoConfiguration),
                };
                self.answer(&caller, answer);
            }
            Call::StartWave(wave) => self.start_wave(now_ms, caller, wave),
            Call::LookAtWave { wave } => {
                let wave = self.state.waves().get(&wave);
                let answer = wave.map_or(Answer::Refused(Refusal::NotKnown), |wave| Answer::Wave {
                    completed: wave.is_completed(),
                });
                self.answer(&caller, answer);
            }
        }
    }

    /// Returns the queue whose host and path prefix match a place, and the workspace of the
    /// caller; no workspace if the queue is open to anyone.
    ///
    /// The configuration is the one in force: a leader answers only while no other can have
    /// committed a newer one, so a key that was taken away opens nothing once its removal is
    /// acknowledged.
    fn queue_at(
        &mut self,
        credentials: Credentials,
        place: &Place,
    ) -> Result<(Queue, Option<Workspace>), Refusal> {
        let configuration = self.state.configuration().ok_or(Refusal::NoConfiguration)?;
        let queue = configuration
            .queue_at(&place.host, &place.path)
            .ok_or(Refusal::NoQueue)?;
        let access = configuration.access.as_ref();
        let Some(access) = access.filter(|access| !access.is_anonymous(&queue.name)) else {
            return Ok((queue.clone(), None));
        };
        match access.identify(&credentials) {
            Ok(workspace) => Ok((queue.clone(), Some(workspace.clone()))),
            Err(fault) => {
                tracing::info!(
                    queue = queue.name, %fault, ?credentials, version = configuration.version,
                    "call: the caller is not identified"
                );
                let decision = Decision::CallUnauthorized(fault);
                self.out.push(Effect::Count(decision));
                Err(Refusal::Unauthorized(fault))
            }
        }
    }

    /// Returns the queue, the caller's workspace and the job that a place names.
    fn job_at(
        &mut self,
        credentials: Credentials,
        place: &Place,
    ) -> Result<(Queue, Option<Workspace>, JobId), Refusal> {
        let (queue, workspace) = self.queue_at(credentials, place)?;
        let job = job_from_path(&place.path, &queue.path_prefix).ok_or(Refusal::NotKnown)?;
        Ok((queue, workspace, job))
    }

    fn submit(
        &mut self,
        caller: CallOrigin,
        credentials: Credentials,
        place: &Place,
        spec: Option<Arc<JobSpec>>,
    ) {
        let (queue, workspace, job) = match self.job_at(credentials, place) {
            Ok(found) => found,
            Err(refusal) => return self.answer(&caller, Answer::Refused(refusal)),
        };
        let submitter = workspace.as_ref().map(|workspace| workspace.name.clone());
        // A retry of the same submission, for example because its first answer was lost.
        if let Some(known) = self.state.job(job) {
            return self.answer(&caller, acceptance(known, submitter.as_ref()));
        }
        if let Some(answer) = self.answer_if_cancelled(job) {
            return self.answer(&caller, answer);
        }
        let Some(spec) = spec else {
            let why = "the job cannot be read: send it whole, as JSON".to_owned();
            return self.answer(&caller, Answer::Refused(Refusal::Wrong(why)));
        };
        if let Err(fault) = spec.check() {
            let refusal = Refusal::Wrong(fault.to_string());
            return self.answer(&caller, Answer::Refused(refusal));
        }
        let memory_bytes = JobMemory::of_active(&spec);
        if !self.has_room_for(job, memory_bytes) {
            let refusal = Refusal::Busy {
                retry_after_ms: NO_ROOM_RETRY_MS,
            };
            return self.answer(&caller, Answer::Refused(refusal));
        }
        let change = match workspace {
            Some(workspace) => {
                if let Some(why) = never_fits(&workspace, &spec) {
                    return self.answer(&caller, Answer::Refused(Refusal::Wrong(why)));
                }
                Change::AcceptFor {
                    workspace: workspace.name,
                    job,
                    queue: queue.name,
                    spec,
                }
            }
            None => Change::Accept {
                job,
                queue: queue.name,
                spec,
            },
        };
        let proposed_by = submitter.clone();
        let waiter = Waiter::Accept {
            caller,
            job,
            workspace: submitter,
        };
        if let Some(lead) = &mut self.leader_state {
            let proposed = lead.proposed_jobs.entry(job);
            proposed.or_insert(ProposedJob {
                memory_bytes,
                workspace: proposed_by,
            });
        }
        self.propose(change, Some(waiter));
    }

    /// Returns the answer to a caller who submits a job that was cancelled before, which is not
    /// accepted any more; `None` if it was not.
    fn answer_if_cancelled(&mut self, job: JobId) -> Option<Answer> {
        let lead = self.leader_state.as_ref();
        if lead.is_some_and(|lead| lead.proposed_cancels.contains(&job)) {
            return Some(Answer::Unknown);
        }
        if !self.state.cancelled_ids().contains(job) {
            return None;
        }
        tracing::info!(%job, "job: refused, it was cancelled before it arrived");
        self.out.push(Effect::Count(Decision::JobCancelledBefore));
        Some(Answer::Refused(Refusal::TakenId))
    }

    /// Returns whether the memory for jobs has room for one more. Jobs far above the ordinary
    /// size get only a part of it, so that they do not keep the others out. A job that is
    /// proposed already may run, so another copy of its call is not refused.
    fn has_room_for(&mut self, job: JobId, memory_bytes: usize) -> bool {
        let proposed = self.leader_state.as_ref().map(|lead| &lead.proposed_jobs);
        if proposed.is_some_and(|jobs| jobs.contains_key(&job)) {
            return true;
        }
        let proposed_bytes = proposed.map_or(0, |jobs| {
            jobs.values().map(|job| job.memory_bytes).sum::<usize>()
        });
        let held_bytes = self.state.job_memory().bytes() + proposed_bytes;
        let limit_bytes = match memory_bytes > ORDINARY_JOB_BYTES {
            true => self.job_limit_bytes / 4 * 3,
            false => self.job_limit_bytes,
        };
        let fits = held_bytes + memory_bytes <= limit_bytes;
        if !fits {
            tracing::warn!(
                %job, memory_bytes, held_bytes, limit_bytes,
                "job: refused, the memory for jobs is used up"
            );
            self.out.push(Effect::Count(Decision::JobWithoutMemory));
        }
        fits
    }

    fn look_up(&mut self, credentials: Credentials, place: &Place) -> Answer {
        let (queue, workspace) = match self.queue_at(credentials, place) {
            Ok(found) => found,
            Err(refusal) => return Answer::Refused(refusal),
        };
        let workspace = workspace.map(|workspace| workspace.name);
        if place.path.len() <= queue.path_prefix.len() {
            let queued = self.state.queued(&queue.name);
            let pending = queued.filter(|job| self.state_of(job) == JobState::Queued);
            return Answer::Pending(pending.count());
        }
        let id = job_from_path(&place.path, &queue.path_prefix);
        let job = id.and_then(|id| self.state.job(id));
        match job.filter(|job| may_see(job, workspace.as_ref())) {
            Some(job) => Answer::Job(self.state_of(job)),
            None => Answer::Refused(Refusal::NotKnown),
        }
    }

    /// Returns the state of a job that its caller sees.
    fn state_of(&self, job: &Job) -> JobState {
        let lead = self.leader_state.as_ref();
        lead.map_or_else(|| job.state(), |lead| lead.unrecorded_starts.state_of(job))
    }

    fn cancel(&mut self, caller: CallOrigin, credentials: Credentials, place: &Place) {
        let (_, workspace, job) = match self.job_at(credentials, place) {
            Ok(found) => found,
            Err(refusal) => return self.answer(&caller, Answer::Refused(refusal)),
        };
        let workspace = workspace.map(|workspace| workspace.name);
        if let Some(known) = self.state.job(job) {
            let answer = match (may_see(known, workspace.as_ref()), known.state()) {
                (false, _) => Answer::Refused(Refusal::NotKnown),
                (true, JobState::Cancelled | JobState::Completed | JobState::Failed) => {
                    Answer::Done
                }
                (true, JobState::Queued | JobState::Running) => {
                    tracing::info!(%job, "job: cancelled by its caller");
                    let waiter = Waiter::Cancel { caller, job };
                    return self.propose(Change::Cancel { job }, Some(waiter));
                }
            };
            return self.answer(&caller, answer);
        }
        self.cancel_unknown(caller, workspace.as_ref(), job);
    }

    /// Cancels a job that is not accepted. Its submission may be on its way through the log, or
    /// still to arrive: so its caller is answered once the cancellation is durable.
    fn cancel_unknown(
        &mut self,
        caller: CallOrigin,
        workspace: Option<&WorkspaceName>,
        job: JobId,
    ) {
        let not_known = Answer::Refused(Refusal::NotKnown);
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let proposed = lead.proposed_jobs.get(&job);
        if proposed.is_some_and(|job| !is_visible(job.workspace.as_ref(), workspace))
            || self.state.cancelled_ids().contains(job)
        {
            return self.answer(&caller, not_known);
        }
        if proposed.is_none() {
            let kept = self.state.cancelled_ids().len() + lead.proposed_cancels.len();
            if kept >= CancelledIds::MAX {
                tracing::warn!(%job, kept, "job: its cancelling is refused, too many are kept");
                self.out.push(Effect::Count(Decision::CancelWithoutMemory));
                let refusal = Refusal::Busy {
                    retry_after_ms: NO_ROOM_RETRY_MS,
                };
                return self.answer(&caller, Answer::Refused(refusal));
            }
            lead.proposed_cancels.insert(job);
        }
        tracing::info!(%job, proposed = proposed.is_some(), "job: cancelled before it is accepted");
        let waiter = Waiter::Cancel { caller, job };
        self.propose(Change::Cancel { job }, Some(waiter));
    }

    fn accept_report(
        &mut self,
        now_ms: u64,
        caller: CallOrigin,
        started_unix_ms: Option<u64>,
        report: Arc<Report>,
    ) {
        let start = self.check_worker_start(now_ms, &report.worker, started_unix_ms);
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let is_current = lead
            .reports
            .record_if_current(now_ms, started_unix_ms, &report);
        if start == WorkerStart::Earlier || !is_current {
            return self.answer(&caller, Answer::Done);
        }
        if self.state.knows(&report) {
            return self.answer(&caller, Answer::Done);
        }
        // The draining phase is replicated so that no later leader assigns work to the
        // worker either.
        tracing::info!(
            worker = %report.worker, pool = %report.pool, phase = %report.phase,
            sequence = report.sequence, "worker: a report changes its known state"
        );
        if report.phase == Phase::Draining {
            lead.scheduler.closed.insert(report.worker.clone());
        }
        self.propose(Change::Report(report), Some(Waiter::Call(caller)));
    }

    fn configure(&mut self, now_ms: u64, caller: CallOrigin, configuration: Arc<Configuration>) {
        if let Err(fault) = configuration.check() {
            tracing::warn!(version = configuration.version, %fault, "configuration: refused");
            let refusal = Refusal::Wrong(fault.to_string());
            return self.answer(&caller, Answer::Refused(refusal));
        }
        let current = self.state.configuration().map(|c| c.version);
        if current.is_some_and(|current| configuration.version <= current) {
            return self.answer(&caller, Answer::Done);
        }
        let replaces_workspaces = self
            .state
            .configuration()
            .is_some_and(|c| c.access.is_some());
        if replaces_workspaces && configuration.access.is_none() {
            let fault = ConfigurationFault::NoWorkspaces;
            tracing::warn!(version = configuration.version, %fault, "configuration: refused");
            let refusal = Refusal::Wrong(fault.to_string());
            return self.answer(&caller, Answer::Refused(refusal));
        }
        if let Some(lead) = &mut self.leader_state {
            lead.held_calls.begin(now_ms);
        }
        let mut waiter = Some(Waiter::Configure(caller));
        if !ConfigurationPart::is_needed(&configuration) {
            return self.propose(Change::Configure(configuration), waiter);
        }
        for part in ConfigurationPart::split(&configuration) {
            let waiter = part.is_last().then(|| waiter.take()).flatten();
            self.propose(Change::ConfigurePart(part), waiter);
        }
    }

    fn configure_parts(&mut self, now_ms: u64, caller: CallOrigin, parts: &[ConfigurationPart]) {
        let mut assembled = ConfigurationParts::default();
        match parts.iter().filter_map(|part| assembled.take(part)).last() {
            Some(configuration) => self.configure(now_ms, caller, Arc::new(configuration)),
            None => {
                let why = "the configuration cannot be read: send it whole".to_owned();
                self.answer(&caller, Answer::Refused(Refusal::Wrong(why)));
            }
        }
    }

    /// Handles the calls that waited for the configuration that is now in force.
    pub(super) fn handle_held_calls(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        for held in lead.held_calls.release(now_ms) {
            self.answer_caller(now_ms, held.caller, held.credentials, held.call);
        }
    }

    fn start_wave(&mut self, now_ms: u64, caller: CallOrigin, wave: Wave) {
        if self.state.waves().contains_key(&wave.number) {
            return self.answer(&caller, Answer::Done);
        }
        let size_bytes = crate::codec::encode(&wave).len();
        if size_bytes > MAX_WAVE_BYTES {
            let why = format!("the wave takes {size_bytes} bytes: {MAX_WAVE_BYTES} are the most");
            return self.answer(&caller, Answer::Refused(Refusal::Wrong(why)));
        }
        let wave = Wave {
            accepted_unix_ms: self.clock.unix_ms(now_ms),
            ..wave
        };
        tracing::info!(
            wave = wave.number,
            machines = wave.machines.len(),
            down_max = wave.down_max,
            duration_ms = wave.duration_ms,
            "wave: requested"
        );
        self.propose(Change::Wave(wave), Some(Waiter::Call(caller)));
    }
}

/// Returns whether a caller of a workspace may see and cancel a job. A job that was accepted
/// while its queue was open to anyone belongs to no workspace and is seen by all.
fn may_see(job: &Job, workspace: Option<&WorkspaceName>) -> bool {
    is_visible(job.workspace.as_ref(), workspace)
}

fn is_visible(owner: Option<&WorkspaceName>, workspace: Option<&WorkspaceName>) -> bool {
    match (owner, workspace) {
        (Some(owner), Some(workspace)) => owner == workspace,
        (None, _) | (_, None) => true,
    }
}

/// Returns the answer to a caller of a workspace who submitted the job that is stored under the
/// id.
pub(super) fn acceptance(stored: &Job, workspace: Option<&WorkspaceName>) -> Answer {
    match may_see(stored, workspace) {
        true => Answer::Done,
        false => Answer::Refused(Refusal::TakenId),
    }
}

/// Returns why a job could never run within the quota of its workspace, with the remedy. The
/// tasks of a gang run only together; other steps run in parts.
fn never_fits(workspace: &Workspace, spec: &JobSpec) -> Option<String> {
    let unused = ResourceTotals::default();
    spec.steps.iter().enumerate().find_map(|(step, tasks)| {
        let together = if tasks.gang {
            usize::from(tasks.tasks)
        } else {
            1
        };
        let fitting = workspace.quota.count_fitting(&unused, &tasks.demand);
        (fitting < together).then(|| {
            format!(
                "step {step} needs room for {together} tasks at once, and the quota of workspace \
                 {} holds {fitting}: make them smaller, or raise the quota",
                workspace.name
            )
        })
    })
}
