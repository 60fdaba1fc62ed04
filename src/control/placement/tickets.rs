use std::collections::BTreeMap;

use crate::jobs::TaskId;
use crate::model::InstanceName;

/// The answers of the outside advisor: which workers may run which step.
///
/// A step is named by its task with index 0.
#[derive(Debug, Default)]
pub(in crate::control) struct Tickets {
    by_step: BTreeMap<TaskId, BTreeMap<InstanceName, Ticket>>,
}

/// The advisor's answer about a worker for a step.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ticket {
    /// The permission to pass on to the worker; `None` if the advisor denied it.
    text: Option<String>,
    /// Time at which the answer expires.
    until_ms: u64,
}

impl Tickets {
    /// Records the answer about the workers `asked`: tickets until `until_ms` for those that
    /// are allowed, and a denial for `refusal_ms` for the others.
    pub(in crate::control) fn record_answer(
        &mut self,
        now_ms: u64,
        step: TaskId,
        asked: &[InstanceName],
        allowed: Vec<(InstanceName, String)>,
        until_ms: u64,
        refusal_ms: u64,
    ) {
        let tickets = self.by_step.entry(step).or_default();
        for name in asked {
            let denial = Ticket {
                text: None,
                until_ms: now_ms + refusal_ms,
            };
            tickets.insert(name.clone(), denial);
        }
        for (name, text) in allowed {
            let ticket = Ticket {
                text: Some(text),
                until_ms,
            };
            tickets.insert(name, ticket);
        }
    }

    /// Returns the ticket of a worker for a step, if the advisor gave one.
    pub(in crate::control) fn text(&self, step: TaskId, worker: &InstanceName) -> Option<&str> {
        self.ticket(step, worker)?.text.as_deref()
    }

    /// Forgets all answers about a step.
    pub(in crate::control) fn forget(&mut self, step: TaskId) {
        self.by_step.remove(&step);
    }

    /// Keeps the answers about the steps for which `is_kept` returns true.
    pub(in crate::control) fn retain(&mut self, is_kept: impl Fn(TaskId) -> bool) {
        self.by_step.retain(|step, _| is_kept(*step));
    }

    /// Returns whether there is a valid answer.
    pub(super) fn is_known(&self, now_ms: u64, step: TaskId, worker: &InstanceName) -> bool {
        self.valid(now_ms, step, worker).is_some()
    }

    /// Returns whether a valid answer denies the step on a worker.
    pub(super) fn is_denied(&self, now_ms: u64, step: TaskId, worker: &InstanceName) -> bool {
        let ticket = self.valid(now_ms, step, worker);
        ticket.is_some_and(|ticket| ticket.text.is_none())
    }

    /// Returns whether a valid ticket allows the step on a worker.
    pub(super) fn is_allowed(&self, now_ms: u64, step: TaskId, worker: &InstanceName) -> bool {
        let ticket = self.valid(now_ms, step, worker);
        ticket.is_some_and(|ticket| ticket.text.is_some())
    }

    fn valid(&self, now_ms: u64, step: TaskId, worker: &InstanceName) -> Option<&Ticket> {
        let ticket = self.ticket(step, worker)?;
        (now_ms < ticket.until_ms).then_some(ticket)
    }

    fn ticket(&self, step: TaskId, worker: &InstanceName) -> Option<&Ticket> {
        self.by_step.get(&step)?.get(worker)
    }
}
