//! Attempts: what the dispatcher wants sent, and what came of it.

use std::sync::Arc;

use crate::load::{self, Action, AttemptId, RequestId};
use crate::model::{InstanceName, Outcome};

use super::super::open::Origin;
use super::super::{AttemptEnd, Effect, Sending};
use super::Node;

impl Node {
    pub(super) fn attempt_ended(
        &mut self,
        now_ms: u64,
        request: RequestId,
        attempt: AttemptId,
        run_us: u64,
        end: AttemptEnd,
        out: &mut Vec<Effect>,
    ) {
        let input = match end {
            AttemptEnd::Answer { status, body } => {
                if let Some(open) = self.requests.get_mut(&request) {
                    open.answer = Some((attempt, status, body));
                }
                load::Input::Finished {
                    request,
                    attempt,
                    status,
                    run_us,
                }
            }
            AttemptEnd::Checkpoint { data } => {
                self.keep_checkpoint(now_ms, request, data, out);
                load::Input::Refused {
                    request,
                    attempt,
                    refusal: load::AttemptRefusal::Leaving,
                }
            }
            AttemptEnd::Refused(refusal) => load::Input::Refused {
                request,
                attempt,
                refusal,
            },
            AttemptEnd::Lost => load::Input::Lost {
                request,
                attempt,
                run_us,
            },
        };
        self.load(now_ms, input, out);
        self.drop_cancelled(request);
    }

    /// Whether an attempt of the request is under way.
    pub(super) fn has_attempt(&self, request: RequestId) -> bool {
        let attempts = (request, AttemptId(0))..=(request, AttemptId(u32::MAX));
        self.attempts_on.range(attempts).next().is_some()
    }

    /// Forgets a cancelled request with its last attempt: the dispatcher has
    /// nothing more to say of it.
    fn drop_cancelled(&mut self, request: RequestId) {
        let cancelled = self.requests.get(&request).is_some_and(|open| {
            matches!(
                open.origin,
                Origin::Call {
                    gone: true,
                    claim: None,
                    ..
                }
            )
        });
        if cancelled && !self.has_attempt(request) {
            self.requests.remove(&request);
        }
    }

    /// Gives the dispatcher an input and carries out what it decides.
    pub(super) fn load(&mut self, now_ms: u64, input: load::Input<'_>, out: &mut Vec<Effect>) {
        for action in self.dispatcher.handle(now_ms, input) {
            match action {
                Action::Dispatch {
                    request,
                    attempt,
                    instance,
                    incarnation,
                    pool_epoch,
                } => self.dispatch(
                    now_ms,
                    (request, attempt),
                    &instance,
                    incarnation,
                    pool_epoch,
                    out,
                ),
                Action::Deliver { request, attempt } => {
                    let outcome = self.whole_answer(request, attempt);
                    self.finish(now_ms, request, outcome, out);
                }
                Action::Refuse {
                    request,
                    reason,
                    retry_after_ms,
                } => {
                    let outcome = Outcome::NotRun {
                        reason,
                        retry_after_ms,
                    };
                    self.finish(now_ms, request, outcome, out);
                }
                Action::GiveUpUnknown { request } => {
                    self.finish(now_ms, request, Outcome::Unknown, out);
                }
            }
        }
    }

    fn dispatch(
        &mut self,
        now_ms: u64,
        (request, attempt): (RequestId, AttemptId),
        instance: &InstanceName,
        incarnation: u64,
        pool_epoch: u64,
        out: &mut Vec<Effect>,
    ) {
        match self.sending(
            now_ms,
            (request, attempt),
            instance,
            incarnation,
            pool_epoch,
        ) {
            Some(sending) => {
                self.attempts += 1;
                *self.in_flight.entry(instance.clone()).or_default() += 1;
                self.attempts_on
                    .insert((request, attempt), instance.clone());
                out.push(Effect::Send(sending));
            }
            // The address went stale between the decision and here: nothing was
            // sent.
            None => self.refused_here.push((request, attempt)),
        }
    }

    /// The attempt is over, whatever came of it.
    pub(super) fn settle_attempt(&mut self, request: RequestId, attempt: AttemptId) {
        self.checkpoints_asked.remove(&(request, attempt));
        let Some(instance) = self.attempts_on.remove(&(request, attempt)) else {
            return;
        };
        if let Some(count) = self.in_flight.get_mut(&instance) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&instance);
            }
        }
    }

    fn sending(
        &self,
        now_ms: u64,
        (request, attempt): (RequestId, AttemptId),
        instance: &InstanceName,
        incarnation: u64,
        pool_epoch: u64,
    ) -> Option<Sending> {
        let open = self.requests.get(&request)?;
        let known = self.directory.get(instance)?;
        let pool = self.state.fleet().carrier(&open.service)?;
        let fence = match &open.origin {
            Origin::Job { fence, .. } => Some(fence.0),
            Origin::Call { .. } => None,
        };
        let left_ms = open.deadline_ms.saturating_sub(now_ms);
        Some(Sending {
            request,
            attempt,
            instance: instance.clone(),
            address: known.report.address.clone(),
            incarnation,
            service: open.service.clone(),
            pool: pool.name.clone(),
            pool_epoch,
            class: open.class,
            idempotent: open.idempotent,
            key: open.key.clone(),
            fence,
            checkpoint: self.checkpoint(&open.origin),
            timeout_ms: left_ms.min(open.attempt_ms).max(1),
            body: Arc::clone(&open.body),
        })
    }

    fn whole_answer(&mut self, request: RequestId, attempt: AttemptId) -> Outcome {
        let answer = self
            .requests
            .get_mut(&request)
            .and_then(|open| open.answer.take());
        match answer {
            Some((of, status, body)) if of == attempt => Outcome::Done { status, body },
            // Never another attempt's answer: better none than a wrong one.
            _ => Outcome::Unknown,
        }
    }

    fn finish(&mut self, now_ms: u64, request: RequestId, outcome: Outcome, out: &mut Vec<Effect>) {
        match self.requests.get(&request).map(|open| &open.origin) {
            Some(Origin::Call { .. }) => self.finish_call(now_ms, request, outcome, out),
            Some(Origin::Job { .. }) => self.finish_job(now_ms, request, outcome, out),
            None => {}
        }
    }
}
