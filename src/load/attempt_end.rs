//! Ends of attempts: frees the slot, records the result for the upstream, and
//! delivers, retries or gives up the request.
//!
//! The retry budget is in `retry`. This module also checks what excludes a
//! retry at once: a request that may have run and is not idempotent, a deadline
//! that cannot be met, a service that no longer exists.

use crate::model::RefusalReason;

use super::dispatcher::Dispatcher;
use super::retry::ATTEMPTS_MAX;
use super::service_load::ServiceLoad;
use super::tracked::Phase;
use super::trail::Decision;
use super::upstreams::{AttemptResult, Target};
use super::{Action, AttemptId, AttemptRefusal, RequestId, RetryReason};

impl Dispatcher {
    /// Ends the current attempt: frees its slot and records its result.
    fn end_attempt(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: AttemptId,
        end: impl FnOnce(&mut ServiceLoad, bool) -> AttemptResult,
    ) -> Option<Target> {
        let tracked = self.requests.get_mut(&id)?;
        let (to, lightly_loaded) = tracked.running_on(attempt)?;
        tracked.phase = Phase::Waiting;
        let class = tracked.class();
        let service = &mut self.services[tracked.service];
        service.ended(to.zone, class);
        self.teams.ended(&tracked.request.team);
        let end = end(service, lightly_loaded);
        self.upstreams.ended(now_ms, to, class, end);
        // A team's quota or a row's limit may block other pools too.
        self.pools_to_schedule.insert(to.pool);
        if self.teams.has_quota(&tracked.request.team) {
            self.mark_all_pools();
        }
        Some(to)
    }

    pub(super) fn finished(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: AttemptId,
        status: u16,
        run_us: u64,
        out: &mut Vec<Action>,
    ) {
        let has_failed = status >= 500;
        let end = |service: &mut ServiceLoad, lightly_loaded: bool| {
            if has_failed {
                return AttemptResult::Failed;
            }
            let ratio = service.run.ratio(run_us);
            service.run.record(run_us, lightly_loaded);
            AttemptResult::Answered { ratio }
        };
        let Some(to) = self.end_attempt(now_ms, id, attempt, end) else {
            return;
        };
        if has_failed {
            self.retry_or_answer(now_ms, id, to, RetryReason::Failed, out);
            return;
        }
        if let Some(tracked) = self.requests.get(&id) {
            self.retries.earn(now_ms, to.pool, &tracked.request.caller);
        }
        self.deliver(now_ms, id, out);
    }

    pub(super) fn lost(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: AttemptId,
        out: &mut Vec<Action>,
    ) {
        if let Some(to) = self.end_attempt(now_ms, id, attempt, |_, _| AttemptResult::Failed) {
            self.retry_or_answer(now_ms, id, to, RetryReason::Lost, out);
        }
    }

    pub(super) fn refused(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: AttemptId,
        refusal: AttemptRefusal,
        out: &mut Vec<Action>,
    ) {
        let (end, reason) = match refusal {
            AttemptRefusal::ConnectFailed => (AttemptResult::Failed, RetryReason::ConnectFailed),
            AttemptRefusal::Busy => (AttemptResult::Busy, RetryReason::Busy),
            AttemptRefusal::Leaving => (AttemptResult::Moved, RetryReason::Leaving),
            AttemptRefusal::StaleEpoch => (AttemptResult::Moved, RetryReason::StaleEpoch),
        };
        if let Some(to) = self.end_attempt(now_ms, id, attempt, |_, _| end) {
            self.retry_or_answer(now_ms, id, to, reason, out);
        }
    }

    /// Requeues a request whose attempt failed, or answers it.
    fn retry_or_answer(
        &mut self,
        now_ms: u64,
        id: RequestId,
        to: Target,
        reason: RetryReason,
        out: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        if tracked.is_cancelled {
            self.requests.remove(&id);
            return;
        }
        let ran = matches!(reason, RetryReason::Lost | RetryReason::Failed);
        tracked.may_have_run |= ran;
        if !reason.is_refused_unrun() {
            tracked.failures += 1;
            tracked.tried.push(to);
        }
        match self.retry_refusal(now_ms, id, to, reason, ran) {
            None => {
                *self.retried.entry(reason).or_default() += 1;
                self.trail.add(now_ms, id, Decision::Retried(reason));
                self.enqueue(now_ms, id);
            }
            // The failure answer of the upstream is complete, so it goes to the caller.
            Some(_) if reason == RetryReason::Failed => self.deliver(now_ms, id, out),
            Some(why) => self.give_up(now_ms, id, why, out),
        }
    }

    /// Returns why the request cannot be retried, or `None` if it can. Spends retry
    /// tokens.
    fn retry_refusal(
        &mut self,
        now_ms: u64,
        id: RequestId,
        to: Target,
        reason: RetryReason,
        ran: bool,
    ) -> Option<RefusalReason> {
        let tracked = self.requests.get(&id)?;
        let request = &tracked.request;
        let run_ms = self.services[tracked.service].run.trusted_ms();
        if ran && !request.idempotent {
            return Some(RefusalReason::RetryBudget);
        }
        if now_ms as f64 + run_ms > request.deadline_ms as f64 {
            return Some(RefusalReason::Deadline);
        }
        if self.services[tracked.service].pool.is_none() {
            return Some(RefusalReason::UnknownService);
        }
        if reason.is_refused_unrun() {
            return None;
        }
        let is_spent = tracked.failures >= ATTEMPTS_MAX
            || !self.retries.spend(now_ms, to.pool, &request.caller);
        is_spent.then_some(RefusalReason::RetryBudget)
    }
}
