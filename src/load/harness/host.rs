//! The workers' part of a bench: what they do with what they are sent, and what
//! they report.

use super::super::{AttemptId, AttemptRefusal, Input, RequestId};
use super::event::{Attempt, AttemptResult, Event};
use super::{Behaviour, Ending, Harness, Worker};
use crate::model::{DesiredState, InstanceName, UpstreamReport, UpstreamState};

/// Time between two reports of a worker, in milliseconds.
const REPORT_MS: u64 = 1_000;

/// Lease that a report carries, in milliseconds.
const LEASE_MS: u64 = 3_000;

#[derive(Debug)]
pub(super) struct Host {
    pub(super) worker: Worker,
    pub(super) running: u32,
    pub(super) sequence: u64,
    /// Requests it was sent.
    pub(super) sent: u64,
}

impl Harness {
    /// A worker gets a request: runs, refuses or fails it.
    pub(super) fn start(&mut self, id: RequestId, attempt: AttemptId, name: &InstanceName) {
        self.check(id, name);
        let now_ms = self.now_ms;
        let (Some(host), Some(account)) = (self.hosts.get_mut(name), self.accounts.get_mut(&id))
        else {
            return;
        };
        account.dispatches += 1;
        host.sent += 1;
        let full = host.running >= host.worker.capacity.slots;
        let (result, after_ms) = match host.worker.behaviour {
            Behaviour::Gone => (AttemptResult::Refused(AttemptRefusal::ConnectFailed), 1),
            _ if full => (AttemptResult::Refused(AttemptRefusal::Busy), 1),
            Behaviour::Works { slowdown } => {
                let run_ms = (account.run_ms as f64 * slowdown) as u64;
                (AttemptResult::Status(200), run_ms.max(1))
            }
            Behaviour::Fails { after_ms } => (AttemptResult::Status(500), after_ms),
        };
        if matches!(result, AttemptResult::Status(_)) {
            host.running += 1;
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
        self.at(now_ms + after_ms, Event::End(end));
    }

    /// What must hold of every dispatch.
    fn check(&mut self, id: RequestId, name: &InstanceName) {
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

    pub(super) fn end(&mut self, end: &Attempt) {
        let Some(host) = self.hosts.get_mut(&end.worker) else {
            return;
        };
        let mut result = end.result;
        if let AttemptResult::Status(_) = result {
            host.running = host.running.saturating_sub(1);
            if host.worker.behaviour == Behaviour::Gone {
                result = AttemptResult::Lost;
            }
        }
        let Some(entry) = self.accounts.get(&end.request).map(|a| a.entry) else {
            return;
        };
        let (request, attempt) = (end.request, end.attempt);
        let run_us = (self.now_ms - end.start_ms) * 1_000;
        let answers = self.answers(request);
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
        let delivered = self.answers(request) > answers;
        if delivered && result == AttemptResult::Status(500) {
            self.relabel(request);
        }
    }

    fn answers(&self, id: RequestId) -> u32 {
        self.accounts.get(&id).map_or(0, |a| a.answers)
    }

    fn relabel(&mut self, id: RequestId) {
        if let Some(account) = self.accounts.get_mut(&id)
            && let Some((_, ending @ Ending::Answered)) = &mut account.ended
        {
            *ending = Ending::FailureAnswered;
        }
    }

    pub(super) fn report(&mut self, name: &InstanceName) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let next = self.now_ms + REPORT_MS;
        if host.worker.behaviour == Behaviour::Gone {
            self.at(next, Event::Report(name.clone()));
            return;
        }
        host.sequence += 1;
        let worker = &host.worker;
        let report = UpstreamReport {
            instance: worker.name.clone(),
            incarnation: 1,
            sequence: host.sequence,
            address: String::new(),
            zone: worker.zone.clone(),
            rack: worker.rack.clone(),
            pool: worker.pool.clone(),
            capacity: worker.capacity,
            pool_epoch: 1,
            standing: UpstreamState::Serving,
            running: host.running,
            usage_age_ms: 0,
        };
        for entry in 0..self.sides.len() {
            let input = Input::Report {
                report: &report,
                lease_until_ms: self.now_ms + LEASE_MS,
            };
            self.feed(entry, input);
        }
        self.at(next, Event::Report(name.clone()));
    }
}
