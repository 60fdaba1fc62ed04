//! What a leader has beside the replicated state, from the beginning of its lead to
//! its end.

use std::collections::{BTreeMap, BTreeSet};

use super::super::pending::Pending;
use super::super::{
    Answer, Capacity, Carriers, Change, Decision, Effect, Fleet, Forecast, MachineList,
    MachineOrder, Placement, Reports, Scheduler, Throttle, Upkeep,
};
use super::orders::Sent;
use super::{Caller, Node};
use crate::jobs::{Job, JobId, TaskId};
use crate::model::InstanceName;

/// How often ended jobs are forgotten.
const FORGET_MS: u64 = 10_000;
/// A worker that neither reported nor listed for so long is struck off once its
/// leases have run out; its next report takes it in again.
const STRIKE_OFF_MS: u64 = 15_000;

/// What waits for a change to be applied.
#[derive(Debug)]
pub(super) enum Waiter {
    /// A call, to be answered that it is done.
    Call(Caller),
    /// The submission of a job.
    Accept {
        /// The call.
        caller: Caller,
        /// The job.
        job: JobId,
    },
    /// A start, to be ordered.
    Place(Placement),
    /// The upkeep of a machine, to be ordered.
    Upkeep {
        /// The wave's number.
        wave: u64,
        /// The machine.
        machine: String,
        /// The incarnation on it.
        worker: Option<InstanceName>,
    },
    /// An end, to be acknowledged to the worker.
    Ended {
        /// The worker.
        worker: InstanceName,
        /// The end's number there.
        number: u64,
    },
}

/// A leader's beliefs and its open business.
#[derive(Debug)]
pub(super) struct Lead {
    pub(super) term: u64,
    pub(super) fleet: Fleet,
    pub(super) pending: Pending<Waiter>,
    pub(super) scheduler: Scheduler,
    pub(super) forecast: Forecast,
    pub(super) reports: Reports,
    pub(super) throttles: BTreeMap<InstanceName, Throttle>,
    pub(super) orders: BTreeMap<u64, Sent>,
    /// The followers that carry orders out.
    pub(super) carriers: Carriers,
    pub(super) questions: BTreeMap<u64, (TaskId, Vec<InstanceName>, u64)>,
    pub(super) upkeep: Upkeep,
    pub(super) machine_orders: BTreeMap<u64, (MachineOrder, Option<InstanceName>)>,
    pub(super) capacity: Capacity,
    pub(super) machines: MachineList,
    /// Jobs that run more than once.
    pub(super) recurring: BTreeSet<JobId>,
    /// Occurrences that are on their way into the log.
    pub(super) due: BTreeSet<(JobId, u32)>,
    /// Workers about whose end a change is on its way.
    pub(super) ending: BTreeSet<InstanceName>,
    pub(super) next_id: u64,
    /// Whether something happened that may let a task start.
    pub(super) dirty: bool,
    pub(super) pass_ms: u64,
    pub(super) keep_ms: u64,
    /// When the needs of pools were looked at last.
    pub(super) needs_ms: u64,
    forget_ms: u64,
    since_ms: u64,
}

impl Lead {
    /// Starts that are on their way: into the log, or to a worker.
    pub(super) fn open_starts(&self) -> usize {
        let sent = self.orders.values();
        let sent = sent.filter(|sent| matches!(sent, Sent::Start(_))).count();
        self.scheduler.proposed.len() + sent
    }

    /// A number for an order or a question.
    pub(super) fn draw_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

impl Node {
    /// Begins and ends the lead as the log says.
    pub(super) fn follow_lead(&mut self, now_ms: u64) {
        let term = self.replica.leading_term(now_ms);
        let mine = self.lead.as_ref().map(|lead| lead.term);
        if mine.is_some() && !self.replica.is_leader_of(mine) {
            self.end_lead();
        }
        if let Some(term) = term
            && self.lead.is_none()
        {
            self.begin_lead(now_ms, term);
        }
    }

    fn begin_lead(&mut self, now_ms: u64, term: u64) {
        let lease_ms = self.settings.timing.lease_ms();
        let start = self.draw_start();
        let mut scheduler = Scheduler::default();
        let mut jobs: Vec<_> = self.state.active().collect();
        jobs.sort_by_key(|job| job.accepted_unix_ms);
        for job in jobs {
            scheduler.touch(job.id);
            if counts_as_size(job) {
                let estimates = self.state.history().estimates();
                scheduler.record_arrival(job, estimates);
            }
        }
        self.lead = Some(Box::new(Lead {
            term,
            fleet: Fleet::new(now_ms, lease_ms, &self.state, &scheduler.sizes),
            pending: Pending::new(self.settings.me.clone(), start),
            scheduler,
            forecast: Forecast::default(),
            reports: Reports::default(),
            throttles: BTreeMap::new(),
            orders: BTreeMap::new(),
            carriers: Carriers::default(),
            questions: BTreeMap::new(),
            upkeep: Upkeep::new(now_ms, &self.state),
            machine_orders: BTreeMap::new(),
            capacity: Capacity::default(),
            machines: MachineList::new(now_ms),
            recurring: BTreeSet::new(),
            due: BTreeSet::new(),
            ending: BTreeSet::new(),
            next_id: start >> 16,
            dirty: true,
            pass_ms: now_ms,
            keep_ms: now_ms,
            needs_ms: now_ms,
            forget_ms: now_ms + FORGET_MS,
            since_ms: now_ms,
        }));
        tracing::info!(
            term,
            applied = self.applied_index,
            workers = self.state.workers().len(),
            jobs = self.state.active().count(),
            "lead: begins"
        );
        self.out.push(Effect::Count(Decision::LeadBegan));
        for (id, call) in self.relay.take_all() {
            self.answer_call(now_ms, Caller::Here(id), call);
        }
    }

    pub(super) fn end_lead(&mut self) {
        let Some(lead) = self.lead.take() else {
            return;
        };
        tracing::info!(
            term = lead.term,
            orders = lead.orders.len(),
            machine_orders = lead.machine_orders.len(),
            "lead: ends"
        );
        // A successor may order the same machines from now on. An order that a cut holds
        // up until it heals would reach a machine after the successor's; where nobody
        // checks tokens, two leaders then take turns on it.
        self.out.push(Effect::AbortOrders);
        for waiter in lead.pending.into_waiters() {
            let caller = match waiter {
                Waiter::Call(caller) | Waiter::Accept { caller, .. } => caller,
                Waiter::Place(_) | Waiter::Upkeep { .. } | Waiter::Ended { .. } => continue,
            };
            let answer = match caller {
                Caller::Here(_) => Answer::Unknown,
                Caller::Peer(..) => Answer::LeadLost,
            };
            self.answer(&caller, answer);
        }
    }

    pub(super) fn propose(&mut self, change: Change, waiter: Option<Waiter>) {
        if let Some(lead) = &mut self.lead {
            lead.pending.add(change, waiter);
        }
    }

    pub(super) fn tick_lead(&mut self, now_ms: u64) {
        self.watch_carriers(now_ms);
        if !self.leads(now_ms) {
            return;
        }
        self.renew_leases(now_ms);
        self.end_workers(now_ms);
        self.bring_due(now_ms);
        self.keep_machines(now_ms);
        self.forget(now_ms);
        self.pass(now_ms);
    }

    /// Workers whose runs have provably ended, and those that are gone.
    fn end_workers(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let mut changes = Vec::new();
        for (name, link) in lead.fleet.links() {
            if !link.has_lapsed(now_ms) || lead.ending.contains(name) {
                continue;
            }
            let worker = self.state.worker(name);
            let heard_ms = lead.reports.heard_ms(name).max(link.heard_ms());
            let quiet_ms = now_ms - heard_ms.unwrap_or(lead.since_ms);
            let over = worker.is_none_or(|w| w.leaving) || quiet_ms > STRIKE_OFF_MS;
            let worker = name.clone();
            if over {
                changes.push(Change::Gone { worker });
            } else if !link.runs.is_empty() {
                changes.push(Change::Lapse { worker });
            }
        }
        for change in changes {
            if let Change::Gone { worker } | Change::Lapse { worker } = &change {
                let runs = lead.fleet.runs_on(&self.state, worker).count();
                tracing::info!(%worker, runs, ?change, "worker: its leases have run out");
                lead.ending.insert(worker.clone());
                self.out.push(Effect::Count(Decision::WorkerLapsed));
            }
            lead.pending.add(change, None);
        }
    }

    /// A worker's incarnation is over: its successor answered in its place.
    pub(super) fn worker_over(&mut self, worker: &InstanceName) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if lead.ending.insert(worker.clone()) {
            tracing::info!(%worker, "worker: another incarnation answers at its address");
            let change = Change::Gone {
                worker: worker.clone(),
            };
            lead.pending.add(change, None);
        }
    }

    fn forget(&mut self, now_ms: u64) {
        let unix_ms = self.clock.unix_ms(now_ms);
        let remember_ms = self.settings.timing.remember_ms;
        let Some(lead) = &mut self.lead else {
            return;
        };
        if now_ms < lead.forget_ms {
            return;
        }
        lead.forget_ms = now_ms + FORGET_MS;
        // A clock that jumped must not cost a caller the state of its job.
        let before_unix_ms = unix_ms.saturating_sub(2 * remember_ms);
        lead.pending.add(Change::Forget { before_unix_ms }, None);
        let state = &self.state;
        lead.scheduler
            .sizes
            .retain(|job| state.job(job).is_some_and(|job| job.verdict.is_none()));
        lead.scheduler
            .tickets
            .retain(|step, _| state.job(step.job).is_some_and(|job| job.verdict.is_none()));
    }
}

/// Whether a job tells how large jobs of its queue are.
pub(super) fn counts_as_size(job: &Job) -> bool {
    job.spec.recurrence.is_none() && !job.spec.lasts()
}
