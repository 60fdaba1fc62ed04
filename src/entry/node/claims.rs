//! Requests that may run only once: the claim of their key, from its proposal to
//! its verdict.

use crate::load::RequestId;
use crate::model::{Outcome, RefusalReason, RequestKey, Service};
use crate::state::{Change, ClaimPhase, ClaimReply, Fence, Fingerprint, Reply, scoped_key};

use super::super::open::{ClaimHold, Origin};
use super::super::{Call, CallId, Effect};
use super::answers::{NO_QUORUM_RETRY_MS, not_run, unchecked};
use super::{Node, Purpose, Waiter};

/// How long a claim may take. An election of a new leader fits in, so that one
/// does not turn requests away; a cut off zone learns soon that it is.
const CLAIM_PATIENCE_MS: u64 = 3_000;

impl Node {
    pub(super) fn claim(
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
            let outcome = unchecked(&call, RefusalReason::NoQuorum, NO_QUORUM_RETRY_MS);
            return self.answer_call(id, outcome, out);
        }
        let patience_ms = call.deadline_ms.min(CLAIM_PATIENCE_MS);
        let hold = ClaimHold {
            key: key.clone(),
            fence: None,
            unchecked: unchecked(&call, RefusalReason::NoQuorum, NO_QUORUM_RETRY_MS),
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
        reply: Reply,
        out: &mut Vec<Effect>,
    ) {
        let outcome = match reply {
            Reply::Claim(ClaimReply::Granted { fence }) => {
                return self.granted(now_ms, request, fence, out);
            }
            Reply::Claim(ClaimReply::InFlight { .. }) => return self.wait_for(request),
            Reply::Claim(ClaimReply::Answered { status, body }) => Outcome::Done { status, body },
            // Its answer is no longer kept; that it ran is all that is known.
            Reply::Claim(ClaimReply::Unknown | ClaimReply::Expired) => Outcome::Unknown,
            Reply::Claim(ClaimReply::Conflict) => not_run(RefusalReason::KeyConflict, None),
            Reply::Claim(ClaimReply::Full) => not_run(RefusalReason::QueueFull, Some(1_000)),
            // The claim's fate cannot be told, and so what became of the key.
            _ => self.unchecked_claim(request),
        };
        self.drop_claim(request);
        self.finish_call(now_ms, request, outcome, out);
    }

    fn granted(&mut self, now_ms: u64, request: RequestId, granted: Fence, out: &mut Vec<Effect>) {
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

    /// What is told of a request whose claim brought no verdict.
    fn unchecked_claim(&self, request: RequestId) -> Outcome {
        match self.requests.get(&request).map(|open| &open.origin) {
            Some(Origin::Call {
                claim: Some(hold), ..
            }) => hold.unchecked.clone(),
            _ => Outcome::Unknown,
        }
    }

    /// A claim was given up before its answer: nothing was sent under it. If it
    /// is granted later it is released then.
    pub(super) fn claim_given_up(
        &mut self,
        now_ms: u64,
        request: RequestId,
        out: &mut Vec<Effect>,
    ) {
        self.claims_given_up.insert(request);
        let outcome = self.unchecked_claim(request);
        self.drop_claim(request);
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
}
