//! Attempts: sent to upstreams as the dispatcher decides, with their outcomes reported
//! back to it.

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
                self.store_checkpoint(now_ms, request, data, out);
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
        self.drive_dispatcher(now_ms, input, out);
        self.drop_cancelled(request);
    }

    /// Whether an attempt of the request is in flight.
    pub(super) fn has_attempt(&self, request: RequestId) -> bool {
        let attempts = (request, AttemptId(0))..=(request, AttemptId(u32::MAX));
        self.attempt_instances.range(attempts).next().is_some()
    }

    /// Removes a cancelled request after its last attempt: the dispatcher emits no
    /// further action for it.
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

    /// Passes an input to the dispatcher and carries out the resulting actions.
    pub(super) fn drive_dispatcher(
        &mut self,
        now_ms: u64,
        input: load::Input<'_>,
        out: &mut Vec<Effect>,
    ) {
        for action in self.dispatcher.handle(now_ms, input) {
            match action {
                Action::Dispatch {
                    request,
                    attempt,
                    instance,
                    incarnation,
                    pool_epoch,
                } => self.dispatch_attempt(
                    now_ms,
                    (request, attempt),
                    &instance,
                    incarnation,
                    pool_epoch,
                    out,
                ),
                Action::Deliver { request, attempt } => {
                    let outcome = self.take_answer(request, attempt);
                    self.finish_request(now_ms, request, outcome, out);
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
                    self.finish_request(now_ms, request, outcome, out);
                }
                Action::GiveUpUnknown { request } => {
                    self.finish_request(now_ms, request, Outcome::Unknown, out);
                }
            }
        }
    }

    fn dispatch_attempt(
        &mut self,
        now_ms: u64,
        (request, attempt): (RequestId, AttemptId),
        instance: &InstanceName,
        incarnation: u64,
        pool_epoch: u64,
        out: &mut Vec<Effect>,
    ) {
        match self.build_sending(
            now_ms,
            (request, attempt),
            instance,
            incarnation,
            pool_epoch,
        ) {
            Some(sending) => {
                self.attempts_sent += 1;
                *self.in_flight.entry(instance.clone()).or_default() += 1;
                self.attempt_instances
                    .insert((request, attempt), instance.clone());
                out.push(Effect::Send(sending));
            }
            // The upstream, its pool or the request was gone before sending: nothing
            // was sent.
            None => self.unsent_attempts.push((request, attempt)),
        }
    }

    /// Removes an attempt that has ended, with any outcome.
    pub(super) fn remove_attempt(&mut self, request: RequestId, attempt: AttemptId) {
        self.requested_checkpoints.remove(&(request, attempt));
        let Some(instance) = self.attempt_instances.remove(&(request, attempt)) else {
            return;
        };
        if let Some(count) = self.in_flight.get_mut(&instance) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&instance);
            }
        }
    }

    fn build_sending(
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
            checkpoint: self.latest_checkpoint(&open.origin),
            timeout_ms: left_ms.min(open.attempt_timeout_ms).max(1),
            body: Arc::clone(&open.body),
        })
    }

    fn take_answer(&mut self, request: RequestId, attempt: AttemptId) -> Outcome {
        let answer = self
            .requests
            .get_mut(&request)
            .and_then(|open| open.answer.take());
        match answer {
            Some((of, status, body)) if of == attempt => Outcome::Done { status, body },
            // The answer of another attempt could be wrong, so it is never used.
            _ => Outcome::Unknown,
        }
    }

    fn finish_request(
        &mut self,
        now_ms: u64,
        request: RequestId,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        match self.requests.get(&request).map(|open| &open.origin) {
            Some(Origin::Call { .. }) => self.finish_call(now_ms, request, outcome, out),
            Some(Origin::Job { .. }) => self.finish_job(now_ms, request, outcome, out),
            None => {}
        }
    }
}
