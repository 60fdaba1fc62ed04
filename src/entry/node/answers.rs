//! Answers to calls. The answer of a request that may run only once is stored in the
//! replicated state before its caller gets it.

use crate::load::RequestId;
use crate::model::{Outcome, RefusalReason};
use crate::state::{Change, MAX_ONE_ANSWER_BYTES};

use super::super::open::{Origin, PendingStore};
use super::super::{Call, CallAnswer, CallId, Effect};
use super::{COMPLETION_PROPOSAL_TIMEOUT_MS, Node, Purpose};

/// How long an answer waits until it is stored. The answer is complete and correct
/// without that; storing it only serves a caller that lost the answer and asks again.
const ANSWER_STORE_TIMEOUT_MS: u64 = 1_000;
/// Retry delay if the replicated log has no leader: two election timeouts.
pub(super) const NO_QUORUM_RETRY_MS: u64 = 2_000;

impl Node {
    /// Ends the request of a call with its outcome.
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
                body: truncate_answer(body, MAX_ONE_ANSWER_BYTES),
            },
            Outcome::NotRun { .. } => Change::ClaimRelease { key, fence },
            Outcome::Unknown => Change::ClaimUnknown { key, fence },
        };
        let waits = matches!(outcome, Outcome::Done { .. }) && !gone;
        let purpose = if waits {
            let due_ms = now_ms + ANSWER_STORE_TIMEOUT_MS;
            let storing = PendingStore {
                id,
                outcome,
                due_ms,
            };
            self.pending_stores.insert(id, storing);
            Purpose::Store(id)
        } else {
            if !gone {
                self.answer_call(id, outcome, out);
            }
            Purpose::System
        };
        self.open_proposal(now_ms, change, purpose, COMPLETION_PROPOSAL_TIMEOUT_MS, out);
    }

    /// Answers a call whose outcome is stored, or could not be stored in time.
    pub(super) fn answer_stored(&mut self, id: CallId, out: &mut Vec<Effect>) {
        if let Some(storing) = self.pending_stores.remove(&id) {
            self.answer_call(id, storing.outcome, out);
        }
    }

    pub(super) fn answer_overdue_stores(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let due: Vec<CallId> = self
            .pending_stores
            .values()
            .filter(|storing| storing.due_ms <= now_ms)
            .map(|storing| storing.id)
            .collect();
        for id in due {
            self.answer_stored(id, out);
        }
    }

    pub(super) fn answer_call(&mut self, id: CallId, outcome: Outcome, out: &mut Vec<Effect>) {
        self.counts.note(&outcome);
        let answer = CallAnswer::Outcome(outcome);
        out.push(Effect::AnswerCall { id, answer });
    }
}

/// Truncates a body to what the replicated state needs: all of it, or one byte more
/// than the limit to show that it is too large. The log drops commands that are too
/// large.
pub(super) fn truncate_answer(body: &[u8], limit_bytes: u64) -> Vec<u8> {
    let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    body[..body.len().min(limit + 1)].to_vec()
}

/// Returns the outcome of a call that is refused before its key could be looked up.
///
/// Nothing was sent for this call, but the same key may have run through another entry
/// instance. A caller that lost that answer and is told `not-run` would submit the work
/// again under another key, and it would run twice: two crews at one tunnel. `unknown`
/// is safe, and so is asking again under the same key. A caller that vouches that the
/// key is new, or whose request may run twice, is told `not-run`.
pub(super) fn outcome_without_key_check(
    call: &Call,
    reason: RefusalReason,
    retry_after_ms: u64,
) -> Outcome {
    if call.key.is_none() || call.idempotent || call.first {
        not_run(reason, Some(retry_after_ms))
    } else {
        Outcome::Unknown
    }
}

/// Returns the outcome of a request that did not run.
pub(super) fn not_run(reason: RefusalReason, retry_after_ms: Option<u64>) -> Outcome {
    Outcome::NotRun {
        reason,
        retry_after_ms,
    }
}
