//! Claims on the keys of requests that may run only once, from the proposal to its
//! reply.

use crate::load::RequestId;
use crate::model::{Outcome, RefusalReason, RequestKey, Service};
use crate::state::{Change, ClaimPhase, ClaimReply, Fence, Fingerprint, Reply, scoped_key};

use super::super::open::{ClaimHold, Origin};
use super::super::{Call, CallId, Effect};
use super::answers::{NO_QUORUM_RETRY_MS, not_run, outcome_without_key_check};
use super::{Node, Purpose, Waiter};

/// How long a claim may take: long enough for the election of a leader, so that an
/// election does not refuse requests, and short enough that callers in a cut-off zone
/// are told soon.
const CLAIM_TIMEOUT_MS: u64 = 3_000;

impl Node {
    pub(super) fn propose_claim(
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
            let outcome =
                outcome_without_key_check(&call, RefusalReason::NoQuorum, NO_QUORUM_RETRY_MS);
            return self.answer_call(id, outcome, out);
        }
        let timeout_ms = call.deadline_ms.min(CLAIM_TIMEOUT_MS);
        let hold = ClaimHold {
            key: key.clone(),
            fence: None,
            fallback_outcome: outcome_without_key_check(
                &call,
                RefusalReason::NoQuorum,
                NO_QUORUM_RETRY_MS,
            ),
        };
        let request = self.open_call(now_ms, id, call, service, Some(hold));
        let change = Change::Claim {
            key,
            fingerprint,
            request,
        };
        let purpose = Purpose::Claim(request);
        self.open_proposal(now_ms, change, purpose, timeout_ms, out);
    }

    /// Continues a request according to the reply to its claim.
    pub(super) fn handle_claim_reply(
        &mut self,
        now_ms: u64,
        request: RequestId,
        reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let outcome = match reply {
            Reply::Claim(ClaimReply::Granted { fence }) => {
                return self.handle_claim_grant(now_ms, request, fence, out);
            }
            Reply::Claim(ClaimReply::InFlight { .. }) => return self.wait_for_key_holder(request),
            Reply::Claim(ClaimReply::Answered { status, body }) => Outcome::Done { status, body },
            // The answer is no longer kept; all that is known is that it ran.
            Reply::Claim(ClaimReply::Unknown | ClaimReply::Expired) => Outcome::Unknown,
            Reply::Claim(ClaimReply::Conflict) => not_run(RefusalReason::KeyConflict, None),
            Reply::Claim(ClaimReply::Full) => not_run(RefusalReason::QueueFull, Some(1_000)),
            // The outcome of the claim is unknown, and so is whether the key has run.
            _ => self.unresolved_claim_outcome(request),
        };
        self.drop_claim(request);
        self.finish_call(now_ms, request, outcome, out);
    }

    fn handle_claim_grant(
        &mut self,
        now_ms: u64,
        request: RequestId,
        granted: Fence,
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
        self.submit_to_dispatcher(now_ms, request, out);
    }

    /// Makes a call wait for the answer of the request that holds its key.
    fn wait_for_key_holder(&mut self, request: RequestId) {
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

    /// The outcome of a request whose claim got no usable reply.
    fn unresolved_claim_outcome(&self, request: RequestId) -> Outcome {
        match self.requests.get(&request).map(|open| &open.origin) {
            Some(Origin::Call {
                claim: Some(hold), ..
            }) => hold.fallback_outcome.clone(),
            _ => Outcome::Unknown,
        }
    }

    /// Gives up a claim that got no reply in time. Nothing was sent under it; if it is
    /// granted later, it is released then.
    pub(super) fn abandon_claim(&mut self, now_ms: u64, request: RequestId, out: &mut Vec<Effect>) {
        self.abandoned_claims.insert(request);
        let outcome = self.unresolved_claim_outcome(request);
        self.drop_claim(request);
        self.finish_call(now_ms, request, outcome, out);
    }

    /// Answers calls whose key is settled by now, or which have waited until their
    /// deadline.
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
}
