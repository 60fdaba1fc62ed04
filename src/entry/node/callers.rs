//! Calls from callers: checked on arrival, then routed to the dispatcher, a claim or a
//! patient job.

use std::sync::Arc;

use crate::load::{Input, Request, RequestId};
use crate::model::{Class, RefusalReason, Service};

use super::super::open::{ClaimHold, OpenRequest, Origin};
use super::super::{Call, CallAnswer, CallId, Effect};
use super::Node;
use super::answers::{not_run, outcome_without_key_check};

/// Retry delay told to callers by an entry instance that has just started.
const STARTING_RETRY_MS: u64 = 500;
/// An attempt times out after the declared run time times this factor plus
/// [`ATTEMPT_TIMEOUT_EXTRA_MS`]. The factor is generous because declared run times are
/// often off by a factor of four.
const ATTEMPT_TIMEOUT_FACTOR: u64 = 10;
const ATTEMPT_TIMEOUT_EXTRA_MS: u64 = 2_000;

impl Node {
    pub(super) fn handle_call(
        &mut self,
        now_ms: u64,
        id: CallId,
        call: Call,
        out: &mut Vec<Effect>,
    ) {
        if !self.is_state_known {
            let outcome =
                outcome_without_key_check(&call, RefusalReason::Starting, STARTING_RETRY_MS);
            return self.answer_call(id, outcome, out);
        }
        if self.refuses_new() {
            let outcome = outcome_without_key_check(&call, RefusalReason::Stopping, 0);
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
                self.submit_to_dispatcher(now_ms, request, out);
            }
            Class::Urgent => self.propose_claim(now_ms, id, call, &service, out),
        }
    }

    pub(super) fn handle_caller_gone(&mut self, now_ms: u64, id: CallId, out: &mut Vec<Effect>) {
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
        // A request that still waits for its claim is cancelled when the claim is
        // granted. One that may run only once and is in flight continues: its answer is
        // stored for a caller that asks again.
        let offered = open.offered;
        if offered && !(claimed && self.has_attempt(request)) {
            self.drive_dispatcher(now_ms, Input::Cancel(request), out);
        }
    }

    fn service(&self, call: &Call) -> Option<Service> {
        let pool = self.state.fleet().carrier(&call.service)?;
        let found = pool.services.iter().find(|s| s.name == call.service);
        found.cloned()
    }

    pub(super) fn open_call(
        &mut self,
        now_ms: u64,
        id: CallId,
        call: Call,
        service: &Service,
        claim: Option<ClaimHold>,
    ) -> RequestId {
        let request = self.next_request();
        let deadline_ms = now_ms.saturating_add(call.deadline_ms);
        let attempt_timeout_ms = if call.idempotent {
            attempt_timeout_ms(service)
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
            OpenRequest {
                origin,
                service: call.service,
                team: call.team,
                caller: call.caller,
                class: service.class,
                idempotent: call.idempotent,
                key: call.key,
                body: call.body,
                deadline_ms,
                attempt_timeout_ms,
                answer: None,
                offered: false,
            },
        );
        request
    }

    /// Submits an open request to the dispatcher.
    pub(super) fn submit_to_dispatcher(
        &mut self,
        now_ms: u64,
        id: RequestId,
        out: &mut Vec<Effect>,
    ) {
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
        self.drive_dispatcher(now_ms, Input::Offer(request), out);
    }
}

/// Longest time for one attempt on a service, in milliseconds.
pub(super) fn attempt_timeout_ms(service: &Service) -> u64 {
    let times = service.demand.run_ms.saturating_mul(ATTEMPT_TIMEOUT_FACTOR);
    times.saturating_add(ATTEMPT_TIMEOUT_EXTRA_MS)
}

/// Copies a body into shared bytes.
pub(super) fn shared_bytes(body: &[u8]) -> Arc<[u8]> {
    Arc::from(body)
}
