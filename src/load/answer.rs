//! The final answer of each request: delivered, refused or unknown.
//!
//! A refusal carries a retry-after time where one can be estimated: the time in
//! which the backlog ahead drains, or after which the cause may be gone.

use crate::model::RefusalReason;

use super::admission::retry_after_ms;
use super::dispatcher::Dispatcher;
use super::queue::ClassQueue;
use super::tracked::{Phase, Tracked};
use super::trail::Decision;
use super::{Action, RequestId};

impl Dispatcher {
    pub(super) fn cancel(&mut self, now_ms: u64, id: RequestId, out: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        if tracked.phase == Phase::Waiting {
            self.give_up(now_ms, id, RefusalReason::Cancelled, out);
        } else {
            tracked.is_cancelled = true;
            self.trail.add(now_ms, id, Decision::CancelledInFlight);
        }
    }

    pub(super) fn deliver(&mut self, now_ms: u64, id: RequestId, out: &mut Vec<Action>) {
        let Some(tracked) = self.requests.remove(&id) else {
            return;
        };
        if tracked.is_cancelled {
            return;
        }
        let attempt = tracked.attempt();
        self.trail.add(now_ms, id, Decision::Delivered(attempt));
        out.push(Action::Deliver {
            request: id,
            attempt,
        });
    }

    /// Answers a request that will not be tried (again).
    pub(super) fn give_up(
        &mut self,
        now_ms: u64,
        id: RequestId,
        reason: RefusalReason,
        out: &mut Vec<Action>,
    ) {
        self.queue_timeouts.clear(id);
        let Some(tracked) = self.requests.remove(&id) else {
            return;
        };
        let class = tracked.class();
        self.services[tracked.service].queues[class].remove(&tracked.queue_key);
        if tracked.may_have_run {
            self.trail.add(now_ms, id, Decision::Unknown);
            out.push(Action::GiveUpUnknown { request: id });
            return;
        }
        let wait_ms = self.retry_wait_ms(now_ms, &tracked, reason);
        self.refuse(now_ms, id, reason, wait_ms, out);
    }

    /// Returns the time after which the cause may be gone, or `None` where waiting does
    /// not help.
    fn retry_wait_ms(
        &mut self,
        now_ms: u64,
        tracked: &Tracked,
        reason: RefusalReason,
    ) -> Option<f64> {
        let service = &self.services[tracked.service];
        let class = tracked.class();
        match reason {
            RefusalReason::RetryBudget => Some(
                service
                    .pool
                    .map_or(0.0, |p| self.retries.wait_ms(now_ms, p)),
            ),
            _ => {
                let ahead = (service.queues[class].len() + 1) as f64;
                base_wait_ms(reason, service.drain_ms(class, ahead))
            }
        }
    }

    pub(super) fn refuse(
        &mut self,
        now_ms: u64,
        id: RequestId,
        reason: RefusalReason,
        wait_ms: Option<f64>,
        out: &mut Vec<Action>,
    ) {
        *self.refusals.entry(reason).or_default() += 1;
        self.trail.add(now_ms, id, Decision::Refused(reason));
        let retry_after_ms = wait_ms.map(|wait| retry_after_ms(wait, &mut self.rng));
        out.push(Action::Refuse {
            request: id,
            reason,
            retry_after_ms,
        });
    }

    pub(super) fn waiting_of(&self, service: usize) -> Vec<RequestId> {
        let queues = &self.services[service].queues;
        queues.iter().flat_map(ClassQueue::ids).collect()
    }

    pub(super) fn refuse_waiting(
        &mut self,
        now_ms: u64,
        service: usize,
        reason: RefusalReason,
        out: &mut Vec<Action>,
    ) {
        for id in self.waiting_of(service) {
            self.give_up(now_ms, id, reason, out);
        }
    }
}

fn base_wait_ms(reason: RefusalReason, drain_ms: f64) -> Option<f64> {
    /// Upstreams announce themselves within a second or two.
    const NO_INSTANCE_MS: f64 = 1_000.0;
    /// Operators reopen a row by hand.
    const ROW_CLOSED_MS: f64 = 10_000.0;
    match reason {
        RefusalReason::NoInstance => Some(NO_INSTANCE_MS),
        RefusalReason::RowClosed => Some(ROW_CLOSED_MS),
        RefusalReason::UnknownService
        | RefusalReason::NeverFits
        | RefusalReason::Cancelled
        | RefusalReason::BadRequest
        | RefusalReason::KeyConflict => None,
        RefusalReason::Deadline
        | RefusalReason::Starting
        | RefusalReason::QueueFull
        | RefusalReason::TeamQuota
        | RefusalReason::RetryBudget
        | RefusalReason::NoQuorum
        | RefusalReason::Stopping => Some(drain_ms),
    }
}
