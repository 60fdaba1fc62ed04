//! Answers to calls, with the stores that some of them wait for.

use crate::load::RequestId;
use crate::model::{Outcome, RefusalReason};
use crate::state::{Change, MAX_ONE_ANSWER_BYTES};

use super::super::open::{Origin, Storing};
use super::super::{Call, CallAnswer, CallId, Effect};
use super::{LONG_PATIENCE_MS, Node, Purpose};

/// How long an answer waits for its store. It is whole and true without it; the
/// store only serves a caller who lost it and asks again.
const STORE_PATIENCE_MS: u64 = 1_000;
/// When to come back if the replicated log has no leader: two election timeouts.
pub(super) const NO_QUORUM_RETRY_MS: u64 = 2_000;

impl Node {
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
}

/// As much of an answer as the replicated state needs: the whole, or enough to
/// see that it is over the limit. The log drops commands that are too large.
pub(super) fn kept(body: &[u8], limit_bytes: u64) -> Vec<u8> {
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    body[..body.len().min(limit + 1)].to_vec()
}

/// The outcome of a call that is turned away before its key could be looked up.
///
/// Nothing was sent for this call. But the same key may have run through another
/// entry instance, and a caller who lost that answer and is told `not-run` books
/// anew under another key: two crews at one tunnel. `unknown` is safe, as asking
/// again under the same key is. A caller who vouches that the key is new, or whose
/// request may run twice, is told that it did not run.
pub(super) fn unchecked(call: &Call, reason: RefusalReason, retry_after_ms: u64) -> Outcome {
    if call.key.is_none() || call.idempotent || call.first {
        not_run(reason, Some(retry_after_ms))
    } else {
        Outcome::Unknown
    }
}

/// The outcome of a request that did not run.
pub(super) fn not_run(reason: RefusalReason, retry_after_ms: Option<u64>) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after_ms,
    }
}
