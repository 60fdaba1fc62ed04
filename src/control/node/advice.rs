//! Requests to the outside advisor, which must allow the placements of some queues.

use super::Node;
use super::advice_request::AdviceRequest;
use crate::control::Effect;
use crate::model::InstanceName;

/// Maximum number of workers in one advice request, as the advisor allows.
const MAX_WORKERS_PER_ADVICE_REQUEST: usize = 100;
/// Part of a ticket's validity, in percent, during which it is used once it has arrived. The
/// rest is left for the answer and for the start to arrive.
const TICKET_USABLE_PERCENT: u64 = 80;
/// How long a refusal by the advisor is cached. Refusals do not change.
const REFUSAL_CACHE_MS: u64 = 3_600_000;

impl Node {
    /// Requests advice about steps whose tickets are missing.
    pub(super) fn request_advice(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        for (step, mut workers) in lead.scheduler.take_missing_advice() {
            if lead.advice_requests.contains(step) {
                continue;
            }
            let job = self.state.job(step.job);
            let queue = job.and_then(|j| self.state.configuration()?.queue(&j.queue));
            let Some(advice) = queue.and_then(|q| q.advice) else {
                continue;
            };
            workers.truncate(MAX_WORKERS_PER_ADVICE_REQUEST);
            let request = AdviceRequest {
                step,
                workers: workers.clone(),
                sent_ms: now_ms,
                takes_ms: advice.decision_ms + advice.per_worker_ms * workers.len() as u64,
                validity_ms: advice.validity_ms,
            };
            // Steps behind this one wait too, even if their requests are shorter: they would
            // delay it without end.
            if !lead.advice_requests.may_send(now_ms, &request) {
                break;
            }
            let id = lead.allocate_id();
            let timeout_ms = lead.advice_requests.add(id, request);
            self.out.push(Effect::Advise {
                id,
                step,
                workers,
                timeout_ms,
            });
        }
    }

    pub(super) fn handle_advice(
        &mut self,
        now_ms: u64,
        id: u64,
        allowed: Option<Vec<(InstanceName, String)>>,
    ) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let request = match allowed {
            Some(_) => lead.advice_requests.answered(id),
            None => lead.advice_requests.failed(now_ms, id),
        };
        let Some(request) = request else {
            return;
        };
        lead.dirty = true;
        let step = request.step;
        let waited_ms = now_ms.saturating_sub(request.sent_ms);
        let open = lead.advice_requests.len();
        let Some(allowed) = allowed else {
            tracing::warn!(%step, waited_ms, open, "advisor: a request was not answered");
            return;
        };
        // A ticket is issued when its request is handled. The time for which the request was
        // queued at the advisor does not count.
        let usable_ms = request.validity_ms * TICKET_USABLE_PERCENT / 100;
        tracing::info!(
            %step, asked = request.workers.len(), allowed = allowed.len(), waited_ms,
            usable_ms, open,
            "advisor: a request was answered"
        );
        lead.scheduler.tickets.record_answer(
            now_ms,
            step,
            &request.workers,
            allowed,
            now_ms + usable_ms,
            REFUSAL_CACHE_MS,
        );
    }
}
