//! Calls: from their arrival to the dispatcher, the claim or the job, and back.

use std::sync::Arc;

use crate::load::{Input, Request, RequestId};
use crate::model::{Class, Outcome, RefusalReason, RequestKey, Service};
use crate::state::{
    Change, ClaimPhase, Fingerprint, JobId, JobReply, MAX_JOB_PART_BYTES, MAX_ONE_ANSWER_BYTES,
    NewJob, scoped_key,
};

use super::super::open::{ClaimHold, Open, Origin, Storing};
use super::super::{Call, CallAnswer, CallId, Effect};
use super::{LONG_PATIENCE_MS, Node, Purpose, Waiter};

/// How long a claim may take. An election of a new leader fits in, so that one
/// does not turn requests away; a cut off zone learns soon that it is.
const CLAIM_PATIENCE_MS: u64 = 3_000;
/// How long the acceptance of a patient job may take.
const ACCEPT_PATIENCE_MS: u64 = 5_000;
/// How long an answer waits for its store. It is whole and true without it; the
/// store only serves a caller who lost it and asks again.
const STORE_PATIENCE_MS: u64 = 1_000;
/// When to come back if the replicated log has no leader: two election timeouts.
const NO_QUORUM_RETRY_MS: u64 = 2_000;
/// When to come back to an entry instance that has just started.
const STARTING_RETRY_MS: u64 = 500;
/// An attempt may take this many times the declared run time, which is often off
/// by four, and [`ATTEMPT_EXTRA_MS`] on top, before its connection counts as lost.
const ATTEMPT_TIMES: u64 = 10;
const ATTEMPT_EXTRA_MS: u64 = 2_000;

impl Node {
    pub(super) fn call(&mut self, now_ms: u64, id: CallId, call: Call, out: &mut Vec<Effect>) {
        if !self.knows_state {
            let outcome = not_run(RefusalReason::Starting, Some(STARTING_RETRY_MS));
            return self.answer_call(id, outcome, out);
        }
        if self.refuses_new() {
            let outcome = not_run(RefusalReason::Stopping, Some(0));
            return self.answer_call(id, outcome, out);
        }
        let Some(service) = self.service(&call) else {
            let outcome = not_run(RefusalReason::UnknownService, None);
            return self.answer_call(id, outcome, out);
        };
        if call.class.is_some_and(|class| class != service.class) {
            let message = format!(
                "rg-class: {} is a {} service: send {} or no class",
                call.service, service.class, service.class
            );
            let answer = CallAnswer::BadRequest(message);
            return out.push(Effect::AnswerCall { id, answer });
        }
        match service.class {
            Class::Patient => self.accept_job(now_ms, id, &call, out),
            Class::Urgent if call.idempotent => {
                let request = self.open_call(now_ms, id, call, &service, None);
                self.offer(now_ms, request, out);
            }
            Class::Urgent => self.claim(now_ms, id, call, &service, out),
        }
    }

    pub(super) fn caller_gone(&mut self, now_ms: u64, id: CallId, out: &mut Vec<Effect>) {
        self.waiters.retain(|waiter| waiter.id != id);
        let Some(request) = self.calls.remove(&id) else {
            return;
        };
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let mut claimed = false;
        if let Origin::Call { gone, claim, .. } = &mut open.origin {
            *gone = true;
            claimed = claim.is_some();
        }
        // One that still waits for its claim is given up when that is granted.
        // One that may run only once and is under way goes on: its answer is
        // stored for the caller who comes back and asks again.
        let offered = open.offered;
        if offered && !(claimed && self.has_attempt(request)) {
            self.load(now_ms, Input::Cancel(request), out);
        }
    }

    fn service(&self, call: &Call) -> Option<Service> {
        let pool = self.state.fleet().carrier(&call.service)?;
        let found = pool.services.iter().find(|s| s.name == call.service);
        found.cloned()
    }

    fn open_call(
        &mut self,
        now_ms: u64,
        id: CallId,
        call: Call,
        service: &Service,
        claim: Option<ClaimHold>,
    ) -> RequestId {
        let request = self.next_request();
        let deadline_ms = now_ms.saturating_add(call.deadline_ms);
        let attempt_ms = if call.idempotent {
            attempt_ms(service)
        } else {
            call.deadline_ms
        };
        let origin = Origin::Call {
            id,
            gone: false,
            claim,
        };
        self.calls.insert(id, request);
        self.requests.insert(
            request,
            Open {
                origin,
                service: call.service,
                team: call.team,
                caller: call.caller,
                class: service.class,
                idempotent: call.idempotent,
                key: call.key,
                body: call.body,
                deadline_ms,
                attempt_ms,
                answer: None,
                offered: false,
            },
        );
        request
    }

    /// Hands an open request to the dispatcher.
    pub(super) fn offer(&mut self, now_ms: u64, id: RequestId, out: &mut Vec<Effect>) {
        let Some(open) = self.requests.get_mut(&id) else {
            return;
        };
        open.offered = true;
        let request = Request {
            id,
            service: open.service.clone(),
            class: open.class,
            team: open.team.clone(),
            caller: open.caller.clone(),
            idempotent: open.idempotent,
            deadline_ms: open.deadline_ms,
        };
        self.load(now_ms, Input::Offer(request), out);
    }

    // Requests that may run only once.

    fn claim(
        &mut self,
        now_ms: u64,
        id: CallId,
        call: Call,
        service: &Service,
        out: &mut Vec<Effect>,
    ) {
        let own = call.key.as_ref().map_or("", RequestKey::as_str);
        let key = scoped_key(&call.team, &call.caller, own);
        let fingerprint = Fingerprint::of(&call.service, &call.team, &call.caller, &call.body);
        if let Some(claim) = self.state.claim(&key)
            && claim.fingerprint == fingerprint
            && let ClaimPhase::Answered { status, body, .. } = &claim.phase
        {
            let outcome = Outcome::Done {
                status: *status,
                body: body.clone(),
            };
            return self.answer_call(id, outcome, out);
        }
        if self.is_cut_off(now_ms) {
            let outcome = not_run(RefusalReason::NoQuorum, Some(NO_QUORUM_RETRY_MS));
            return self.answer_call(id, outcome, out);
        }
        let patience_ms = call.deadline_ms.min(CLAIM_PATIENCE_MS);
        let hold = ClaimHold {
            key: key.clone(),
            fence: None,
        };
        let request = self.open_call(now_ms, id, call, service, Some(hold));
        let change = Change::Claim {
            key,
            fingerprint,
            request,
        };
        let purpose = Purpose::Claim(request);
        self.open_proposal(now_ms, change, purpose, patience_ms, out);
    }

    /// Goes on with a request whose claim was answered.
    pub(super) fn claimed(
        &mut self,
        now_ms: u64,
        request: RequestId,
        reply: crate::state::Reply,
        out: &mut Vec<Effect>,
    ) {
        use crate::state::{ClaimReply, Reply};
        let outcome = match reply {
            Reply::Claim(ClaimReply::Granted { fence }) => {
                return self.granted(now_ms, request, fence, out);
            }
            Reply::Claim(ClaimReply::InFlight { .. }) => return self.wait_for(request),
            Reply::Claim(ClaimReply::Answered { status, body }) => Outcome::Done { status, body },
            Reply::Claim(ClaimReply::Unknown) => Outcome::Unknown,
            Reply::Claim(ClaimReply::Conflict) => not_run(RefusalReason::KeyConflict, None),
            Reply::Claim(ClaimReply::Expired) => not_run(RefusalReason::KeyExpired, None),
            Reply::Claim(ClaimReply::Full) => not_run(RefusalReason::QueueFull, Some(1_000)),
            // The claim's fate cannot be told; the key may be held by it, and
            // nothing was sent.
            _ => not_run(RefusalReason::NoQuorum, Some(NO_QUORUM_RETRY_MS)),
        };
        self.drop_claim(request);
        self.finish_call(now_ms, request, outcome, out);
    }

    fn granted(
        &mut self,
        now_ms: u64,
        request: RequestId,
        granted: crate::state::Fence,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return;
        };
        let Origin::Call {
            gone,
            claim: Some(hold),
            ..
        } = &mut open.origin
        else {
            return;
        };
        hold.fence = Some(granted);
        if *gone {
            let outcome = not_run(RefusalReason::Cancelled, None);
            return self.finish_call(now_ms, request, outcome, out);
        }
        self.offer(now_ms, request, out);
    }

    /// Lets a call wait for the answer of the request that holds its key.
    fn wait_for(&mut self, request: RequestId) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        if let Origin::Call {
            id,
            claim: Some(hold),
            gone: false,
        } = open.origin
        {
            self.calls.remove(&id);
            self.waiters.push(Waiter {
                id,
                key: hold.key,
                due_ms: open.deadline_ms,
            });
        }
    }

    fn drop_claim(&mut self, request: RequestId) {
        if let Some(open) = self.requests.get_mut(&request)
            && let Origin::Call { claim, .. } = &mut open.origin
        {
            *claim = None;
        }
    }

    /// A claim was given up before its answer: nothing was sent, so the request
    /// did not run. If the claim is granted later it is released then.
    pub(super) fn claim_given_up(
        &mut self,
        now_ms: u64,
        request: RequestId,
        out: &mut Vec<Effect>,
    ) {
        self.drop_claim(request);
        let outcome = not_run(RefusalReason::NoQuorum, Some(NO_QUORUM_RETRY_MS));
        self.finish_call(now_ms, request, outcome, out);
    }

    /// Answers calls that wait for a key which is settled now, or for too long.
    pub(super) fn settle_waiters(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.waiters.is_empty() {
            return;
        }
        let mut settled = Vec::new();
        let state = &self.state;
        self.waiters.retain(|waiter| {
            let outcome = match state.claim(&waiter.key).map(|claim| &claim.phase) {
                Some(ClaimPhase::InFlight { .. }) if waiter.due_ms > now_ms => return true,
                Some(ClaimPhase::InFlight { .. } | ClaimPhase::Unknown { .. }) => Outcome::Unknown,
                Some(ClaimPhase::Answered { status, body, .. }) => Outcome::Done {
                    status: *status,
                    body: body.clone(),
                },
                None => not_run(RefusalReason::Cancelled, Some(0)),
            };
            settled.push((waiter.id, outcome));
            false
        });
        for (id, outcome) in settled {
            self.answer_call(id, outcome, out);
        }
    }

    // Answers.

    /// Ends a call's request with its outcome.
    pub(super) fn finish_call(
        &mut self,
        now_ms: u64,
        request: RequestId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.requests.remove(&request) else {
            return;
        };
        let Origin::Call { id, gone, claim } = open.origin else {
            return;
        };
        self.calls.remove(&id);
        let held = claim.and_then(|hold| hold.fence.map(|fence| (hold.key, fence)));
        let Some((key, fence)) = held else {
            if !gone {
                self.answer_call(id, outcome, out);
            }
            return;
        };
        let change = match &outcome {
            Outcome::Done { status, body } => Change::ClaimAnswer {
                key,
                fence,
                status: *status,
                body: kept(body, MAX_ONE_ANSWER_BYTES),
            },
            Outcome::NotRun { .. } => Change::ClaimRelease { key, fence },
            Outcome::Unknown => Change::ClaimUnknown { key, fence },
        };
        let waits = matches!(outcome, Outcome::Done { .. }) && !gone;
        let purpose = if waits {
            let due_ms = now_ms + STORE_PATIENCE_MS;
            let storing = Storing {
                id,
                outcome,
                due_ms,
            };
            self.storing.insert(id, storing);
            Purpose::Store(id)
        } else {
            if !gone {
                self.answer_call(id, outcome, out);
            }
            Purpose::System
        };
        self.open_proposal(now_ms, change, purpose, LONG_PATIENCE_MS, out);
    }

    /// Answers a call whose outcome is stored, or was not in time.
    pub(super) fn stored(&mut self, id: CallId, out: &mut Vec<Effect>) {
        if let Some(storing) = self.storing.remove(&id) {
            self.answer_call(id, storing.outcome, out);
        }
    }

    pub(super) fn answer_overdue_stores(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let due: Vec<CallId> = self
            .storing
            .values()
            .filter(|storing| storing.due_ms <= now_ms)
            .map(|storing| storing.id)
            .collect();
        for id in due {
            self.stored(id, out);
        }
    }

    pub(super) fn answer_call(&mut self, id: CallId, outcome: Outcome, out: &mut Vec<Effect>) {
        self.counts.note(&outcome);
        let answer = CallAnswer::Outcome(outcome);
        out.push(Effect::AnswerCall { id, answer });
    }

    // Patient work.

    fn accept_job(&mut self, now_ms: u64, id: CallId, call: &Call, out: &mut Vec<Effect>) {
        if self.is_cut_off(now_ms) {
            let outcome = not_run(RefusalReason::NoQuorum, Some(NO_QUORUM_RETRY_MS));
            return self.answer_call(id, outcome, out);
        }
        let limit_bytes = MAX_JOB_PART_BYTES;
        if call.body.len() as u64 > limit_bytes {
            let reply = crate::state::Reply::Job(JobReply::TooLarge { limit_bytes });
            return self.accepted(id, reply, out);
        }
        let number = self.next_request();
        let job = JobId::from(format!(
            "{}-{}-{number}",
            self.settings.me, self.settings.incarnation
        ));
        let own = call.key.as_ref().map_or(job.as_str(), RequestKey::as_str);
        let new = NewJob {
            key: scoped_key(&call.team, &call.caller, own),
            fingerprint: Fingerprint::of(&call.service, &call.team, &call.caller, &call.body),
            job,
            service: call.service.clone(),
            team: call.team.clone(),
            caller: call.caller.clone(),
            idempotent: call.idempotent,
            body: call.body.to_vec(),
        };
        let patience_ms = call.deadline_ms.min(ACCEPT_PATIENCE_MS);
        let purpose = Purpose::Accept(id);
        self.open_proposal(now_ms, Change::JobAccept(new), purpose, patience_ms, out);
    }

    /// Answers a call that brought a patient job.
    pub(super) fn accepted(
        &mut self,
        id: CallId,
        reply: crate::state::Reply,
        out: &mut Vec<Effect>,
    ) {
        use crate::state::Reply;
        let outcome = match reply {
            Reply::Job(JobReply::Accepted { job }) => {
                let answer = CallAnswer::Accepted {
                    job: job.as_str().to_owned(),
                };
                return out.push(Effect::AnswerCall { id, answer });
            }
            Reply::Job(JobReply::Conflict) => not_run(RefusalReason::KeyConflict, None),
            Reply::Job(JobReply::Expired) => not_run(RefusalReason::KeyExpired, None),
            Reply::Job(JobReply::Full) => not_run(RefusalReason::QueueFull, Some(60_000)),
            Reply::Job(JobReply::TooLarge { limit_bytes }) => {
                let message =
                    format!("body: over {limit_bytes} bytes: send a reference to it instead");
                let answer = CallAnswer::BadRequest(message);
                return out.push(Effect::AnswerCall { id, answer });
            }
            _ => Outcome::Unknown,
        };
        self.answer_call(id, outcome, out);
    }
}

/// As much of an answer as the replicated state needs: the whole, or enough to
/// see that it is over the limit. The log drops commands that are too large.
pub(super) fn kept(body: &[u8], limit_bytes: u64) -> Vec<u8> {
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    body[..body.len().min(limit + 1)].to_vec()
}

/// Longest time for one attempt of a service.
pub(super) fn attempt_ms(service: &Service) -> u64 {
    let times = service.demand.run_ms.saturating_mul(ATTEMPT_TIMES);
    times.saturating_add(ATTEMPT_EXTRA_MS)
}

/// The outcome of a request that did not run.
pub(super) fn not_run(reason: RefusalReason, retry_after_ms: Option<u64>) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after_ms,
    }
}

/// The body as shared bytes.
pub(super) fn shared(body: &[u8]) -> Arc<[u8]> {
    Arc::from(body)
}
