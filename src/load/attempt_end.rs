//! How attempts end: the slot is freed, its upstream learns from it, and the
//! request is delivered, tried again or given up.
//!
//! `retry` holds the budget; here it is asked, beside what rules a further
//! attempt out at once: a request that may have run and must not run twice, a
//! deadline that cannot be kept, a service that is gone.

use crate::model::RefusalReason;

use super::dispatcher::Dispatcher;
use super::retry::ATTEMPTS_MAX;
use super::service_load::ServiceLoad;
use super::tracked::Phase;
use super::trail::Decision;
use super::upstreams::{End, Target};
use super::{Action, AttemptId, AttemptRefusal, RequestId, RetryReason};

impl Dispatcher {
    /// Ends the present attempt: frees its slot and learns from it.
    fn end_attempt(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: AttemptId,
        end: impl FnOnce(&mut ServiceLoad, bool) -> End,
    ) -> Option<Target> {
        let tracked = self.requests.get_mut(&id)?;
        let (to, calm) = tracked.runs(attempt)?;
        tracked.phase = Phase::Waiting;
        let class = tracked.class();
        let service = &mut self.services[tracked.service];
        service.ended(to.zone, class);
        self.teams.ended(&tracked.request.team);
        let end = end(service, calm);
        self.upstreams.ended(now_ms, to, class, end);
        // A team's quota or a row's limit may hold up other pools too.
        self.dirty.insert(to.pool);
        if self.teams.has_quota(&tracked.request.team) {
            self.all_dirty();
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
        let end = |service: &mut ServiceLoad, calm: bool| {
            if has_failed {
                return End::Failed;
            }
            let ratio = service.run.ratio(run_us);
            service.run.saw(run_us, calm);
            End::Answered { ratio }
        };
        let Some(to) = self.end_attempt(now_ms, id, attempt, end) else {
            return;
        };
        if has_failed {
            self.try_again(now_ms, id, to, RetryReason::Failed, out);
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
        if let Some(to) = self.end_attempt(now_ms, id, attempt, |_, _| End::Failed) {
            self.try_again(now_ms, id, to, RetryReason::Lost, out);
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
            AttemptRefusal::ConnectFailed => (End::Failed, RetryReason::ConnectFailed),
            AttemptRefusal::Busy => (End::Busy, RetryReason::Busy),
            AttemptRefusal::Leaving => (End::Moved, RetryReason::Leaving),
            AttemptRefusal::StaleEpoch => (End::Moved, RetryReason::StaleEpoch),
        };
        if let Some(to) = self.end_attempt(now_ms, id, attempt, |_, _| end) {
            self.try_again(now_ms, id, to, reason, out);
        }
    }

    /// Puts a request whose attempt failed back into its queue, or answers it.
    fn try_again(
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
        if !reason.is_free() {
            tracked.failures += 1;
            tracked.tried.push(to);
        }
        match self.why_not_again(now_ms, id, to, reason, ran) {
            None => {
                *self.retried.entry(reason).or_default() += 1;
                self.trail.add(now_ms, id, Decision::Retried(reason));
                self.enqueue(now_ms, id);
            }
            // The failure that the upstream answered is the whole answer.
            Some(_) if reason == RetryReason::Failed => self.deliver(now_ms, id, out),
            Some(why) => self.give_up(now_ms, id, why, out),
        }
    }

    fn why_not_again(
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
        if reason.is_free() {
            return None;
        }
        let is_spent = tracked.failures >= ATTEMPTS_MAX
            || !self.retries.spend(now_ms, to.pool, &request.caller);
        is_spent.then_some(RefusalReason::RetryBudget)
    }
}
