//! Simulated workers: how they run, refuse or fail attempts, and what they report.

use super::super::{AttemptId, AttemptRefusal, Input, RequestId};
use super::event::{Attempt, AttemptResult, Event};
use super::{Behaviour, Ending, Harness, Worker};
use crate::model::{DesiredState, InstanceName, UpstreamReport, UpstreamState};

/// Interval between two reports of a worker, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Lease that a report grants its worker, in milliseconds.
const REPORT_LEASE_MS: u64 = 3_000;

#[derive(Debug)]
pub(super) struct WorkerState {
    pub(super) worker: Worker,
    pub(super) running: u32,
    pub(super) sequence: u64,
    /// Attempts sent to it.
    pub(super) sent: u64,
}

impl Harness {
    /// Starts an attempt on a worker, which runs, refuses or fails it.
    pub(super) fn start_attempt(&mut self, id: RequestId, attempt: AttemptId, name: &InstanceName) {
        self.check_dispatch(id, name);
        let now_ms = self.now_ms;
        let (Some(state), Some(account)) = (self.workers.get_mut(name), self.accounts.get_mut(&id))
        else {
            return;
        };
        account.dispatches += 1;
        state.sent += 1;
        let full = state.running >= state.worker.capacity.slots;
        let (result, after_ms) = match state.worker.behaviour {
            Behaviour::Gone => (AttemptResult::Refused(AttemptRefusal::ConnectFailed), 1),
            _ if full => (AttemptResult::Refused(AttemptRefusal::Busy), 1),
            Behaviour::Works { slowdown } => {
                let run_ms = (account.run_ms as f64 * slowdown) as u64;
                (AttemptResult::Status(200), run_ms.max(1))
            }
            Behaviour::Fails { after_ms } => (AttemptResult::Status(500), after_ms),
        };
        if matches!(result, AttemptResult::Status(_)) {
            state.running += 1;
            account.runs += 1;
            if account.runs > 1 && !account.request.idempotent {
                self.faults.push(format!("{id}: ran twice"));
            }
        }
        let end = Attempt {
            request: id,
            attempt,
            worker: name.clone(),
            start_ms: now_ms,
            result,
        };
        self.schedule(now_ms + after_ms, Event::AttemptEnd(end));
    }

    /// Records a violation unless the attempt goes to a serving instance of the pool
    /// that carries the request's service.
    fn check_dispatch(&mut self, id: RequestId, name: &InstanceName) {
        let service = self.accounts.get(&id).map(|a| &a.request.service);
        let carrier = service.and_then(|s| self.view.carriers.get(s));
        let instance = self.view.instances.get(name);
        if carrier != instance.map(|i| &i.pool) {
            self.faults
                .push(format!("{id}: sent to {name} of another pool"));
        }
        if instance.is_none_or(|i| i.duty != DesiredState::Serving) {
            self.faults
                .push(format!("{id}: sent to {name}, not serving"));
        }
    }

    pub(super) fn end_attempt(&mut self, end: &Attempt) {
        let Some(state) = self.workers.get_mut(&end.worker) else {
            return;
        };
        let mut result = end.result;
        if let AttemptResult::Status(_) = result {
            state.running = state.running.saturating_sub(1);
            if state.worker.behaviour == Behaviour::Gone {
                result = AttemptResult::Lost;
            }
        }
        let Some(entry) = self.accounts.get(&end.request).map(|a| a.entry) else {
            return;
        };
        let (request, attempt) = (end.request, end.attempt);
        let run_us = (self.now_ms - end.start_ms) * 1_000;
        let answers_before = self.answer_count(request);
        let input = match result {
            AttemptResult::Status(status) => Input::Finished {
                request,
                attempt,
                status,
                run_us,
            },
            AttemptResult::Refused(refusal) => Input::Refused {
                request,
                attempt,
                refusal,
            },
            AttemptResult::Lost => Input::Lost {
                request,
                attempt,
                run_us,
            },
        };
        self.feed(entry, input);
        let delivered = self.answer_count(request) > answers_before;
        if delivered && result == AttemptResult::Status(500) {
            self.mark_as_failure(request);
        }
    }

    fn answer_count(&self, id: RequestId) -> u32 {
        self.accounts.get(&id).map_or(0, |a| a.answers)
    }

    fn mark_as_failure(&mut self, id: RequestId) {
        if let Some(account) = self.accounts.get_mut(&id)
            && let Some((_, ending @ Ending::Answered)) = &mut account.ended
        {
            *ending = Ending::FailureAnswered;
        }
    }

    pub(super) fn send_report(&mut self, name: &InstanceName) {
        let Some(state) = self.workers.get_mut(name) else {
            return;
        };
        let next_report_ms = self.now_ms + REPORT_INTERVAL_MS;
        if state.worker.behaviour == Behaviour::Gone {
            self.schedule(next_report_ms, Event::Report(name.clone()));
            return;
        }
        state.sequence += 1;
        let worker = &state.worker;
        let report = UpstreamReport {
            instance: worker.name.clone(),
            incarnation: 1,
            sequence: state.sequence,
            address: String::new(),
            zone: worker.zone.clone(),
            rack: worker.rack.clone(),
            pool: worker.pool.clone(),
            capacity: worker.capacity,
            pool_epoch: 1,
            standing: UpstreamState::Serving,
            running: state.running,
            usage_age_ms: 0,
        };
        for entry in 0..self.dispatchers.len() {
            let input = Input::Report {
                report: &report,
                lease_until_ms: self.now_ms + REPORT_LEASE_MS,
            };
            self.feed(entry, input);
        }
        self.schedule(next_report_ms, Event::Report(name.clone()));
    }
}
