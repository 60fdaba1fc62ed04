//! State that exists only while this instance leads, and the beginning and end of the
//! leadership. It is rebuilt from the replicated state by each new leader.

use std::collections::{BTreeMap, BTreeSet};

use super::advice_requests::AdviceRequests;
use super::held_calls::HeldCalls;
use super::sent_order::SentOrder;
use super::unrecorded_starts::UnrecordedStarts;
use super::waiting_steps::WaitingSteps;
use super::{CallOrigin, ELECTION_TIMEOUT_MS, Node};
use crate::control::replication::Pending;
use crate::control::{
    Answer, Capacity, Carriers, Change, Decision, Effect, Fleet, Forecast, LeaseLimits,
    MachineList, MachineOrder, OrderPace, Placement, Preemptor, Refusal, Reports, Scheduler,
    Throttle, Upkeep,
};
use crate::jobs::{Job, JobId};
use crate::model::{InstanceName, WorkspaceName};

/// Interval at which ended jobs are removed from the state.
const FORGET_INTERVAL_MS: u64 = 10_000;
/// Interval at which silent availability zones and racks are looked for.
const SILENCE_CHECK_INTERVAL_MS: u64 = 50;
/// Interval at which a worker whose leases have expired is looked at again.
const LAPSE_CHECK_INTERVAL_MS: u64 = 250;
/// A worker that has sent neither a report nor a listing for this long is removed once its
/// leases have expired. Its next report registers it again.
const SILENT_WORKER_TIMEOUT_MS: u64 = 15_000;

/// What to do once a change is applied.
#[derive(Debug)]
pub(super) enum Waiter {
    /// Answer the call with [`Answer::Done`].
    Call(CallOrigin),
    /// Answer the call that replaced the configuration, and handle those that waited for it.
    Configure(CallOrigin),
    /// Answer the call that submitted a job.
    Accept {
        /// The call.
        caller: CallOrigin,
        /// The job.
        job: JobId,
        /// The workspace of the caller, if its queue is not open to anyone.
        workspace: Option<WorkspaceName>,
    },
    /// Answer the call that cancelled a job.
    Cancel {
        /// The call.
        caller: CallOrigin,
        /// The job.
        job: JobId,
    },
    /// Order the start of the placed task.
    Place(Placement),
    /// Order the upkeep of a machine.
    Upkeep {
        /// The wave's number.
        wave: u64,
        /// The machine.
        machine: String,
        /// The worker incarnation on the machine.
        worker: Option<InstanceName>,
    },
    /// Acknowledge the end of a run to its worker.
    Ended {
        /// The worker.
        worker: InstanceName,
        /// How often the worker had started again when it listed the end. The numbers of ends
        /// begin anew with each start.
        restarts: u64,
        /// The worker's sequence number of the end.
        number: u64,
    },
}

/// A job on its way through the log.
#[derive(Debug)]
pub(super) struct ProposedJob {
    /// Memory that it will take, in bytes.
    pub(super) memory_bytes: usize,
    /// The workspace that submitted it; `None` if its queue is open to anyone.
    pub(super) workspace: Option<WorkspaceName>,
}

/// What a leader knows beyond the replicated state, and its outstanding requests.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) term: u64,
    pub(super) fleet: Fleet,
    pub(super) pending: Pending<Waiter>,
    /// Jobs that are proposed and not applied.
    pub(super) proposed_jobs: BTreeMap<JobId, ProposedJob>,
    /// Ids of unknown jobs whose cancellation is proposed and not applied.
    pub(super) proposed_cancels: BTreeSet<JobId>,
    pub(super) held_calls: HeldCalls,
    pub(super) scheduler: Scheduler,
    pub(super) forecast: Forecast,
    pub(super) reports: Reports,
    pub(super) unrecorded_starts: UnrecordedStarts,
    pub(super) waiting_steps: WaitingSteps,
    /// Speed control of best-effort tasks, by worker.
    pub(super) throttles: BTreeMap<InstanceName, Throttle>,
    /// Orders to workers without an outcome, by id.
    pub(super) orders: BTreeMap<u64, SentOrder>,
    /// The followers that carry out orders.
    pub(super) carriers: Carriers,
    pub(super) advice_requests: AdviceRequests,
    pub(super) upkeep: Upkeep,
    /// Orders to the machine manager without an outcome, by id, each with the worker that
    /// it ends.
    pub(super) machine_orders: BTreeMap<u64, (MachineOrder, Option<InstanceName>)>,
    pub(super) capacity: Capacity,
    pub(super) preemptor: Preemptor,
    pub(super) order_pace: OrderPace,
    pub(super) machines: MachineList,
    /// Jobs with a recurrence.
    pub(super) recurring: BTreeSet<JobId>,
    /// Occurrences whose creation is proposed and not applied yet.
    pub(super) proposed_occurrences: BTreeSet<(JobId, u32)>,
    /// Recurring jobs that are behind their due times because an occurrence was held back.
    pub(super) held_back: BTreeSet<JobId>,
    /// Workers for which a [`Change::Lapse`] or [`Change::Gone`] is proposed and not
    /// applied yet.
    pub(super) workers_ending: BTreeSet<InstanceName>,
    /// Workers of availability zones and racks from which nothing is heard.
    pub(super) silent_workers: BTreeSet<InstanceName>,
    silence_checked_ms: u64,
    pub(super) next_id: u64,
    /// Whether something happened that may allow a task to start.
    pub(super) dirty: bool,
    pub(super) last_pass_ms: u64,
    pub(super) last_machine_check_ms: u64,
    /// When the demand of the pools was last computed.
    pub(super) last_demand_ms: u64,
    /// When a job, a worker or a machine last changed.
    pub(super) changed_ms: u64,
    next_forget_ms: u64,
    began_ms: u64,
}

impl LeaderState {
    /// Returns the number of starts that are proposed to the log or sent to a worker
    /// without an outcome.
    pub(super) fn open_starts(&self) -> usize {
        let sent = self.orders.values();
        let sent = sent
            .filter(|sent| matches!(sent, SentOrder::Start(_)))
            .count();
        self.scheduler.proposed.len() + sent
    }

    /// Returns for how long this instance has led.
    pub(super) fn led_for_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.began_ms)
    }

    /// Allocates an id for an order or an advice request.
    pub(super) fn allocate_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

impl Node {
    /// Begins or ends the leadership according to the replicated log.
    pub(super) fn sync_leadership(&mut self, now_ms: u64) {
        let term = self.replica.leading_term(now_ms);
        let own_term = self.leader_state.as_ref().map(|lead| lead.term);
        if own_term.is_some() && !self.replica.is_leader_of(own_term) {
            self.end_leadership();
        }
        if let Some(term) = term
            && self.leader_state.is_none()
        {
            self.begin_leadership(now_ms, term);
        }
    }

    fn begin_leadership(&mut self, now_ms: u64, term: u64) {
        let timing = &self.settings.timing;
        let longest_lease_ms = timing.longest_lease_ms();
        let limits = LeaseLimits {
            granted_ms: self.settings.policy.runs.lease_ms.min(longest_lease_ms),
            inherited_ms: longest_lease_ms,
            accepted_ms: timing.lease_max_ms,
        };
        let start = self.draw_start_id();
        let mut scheduler = Scheduler::default();
        let mut jobs: Vec<_> = self.state.active().collect();
        jobs.sort_by_key(|job| job.accepted_unix_ms);
        for job in jobs {
            scheduler.touch(job.id);
            if counts_toward_sizes(job) {
                scheduler.record_arrival(&self.state, job);
            }
        }
        self.leader_state = Some(Box::new(LeaderState {
            term,
            fleet: Fleet::new(now_ms, limits, &self.state, &scheduler.sizes),
            pending: Pending::new(self.settings.me.clone(), start),
            proposed_jobs: BTreeMap::new(),
            proposed_cancels: BTreeSet::new(),
            held_calls: HeldCalls::default(),
            scheduler,
            forecast: Forecast::default(),
            reports: Reports::default(),
            unrecorded_starts: UnrecordedStarts::default(),
            waiting_steps: WaitingSteps::default(),
            throttles: BTreeMap::new(),
            orders: BTreeMap::new(),
            carriers: Carriers::default(),
            advice_requests: AdviceRequests::default(),
            upkeep: Upkeep::new(now_ms, &self.state),
            machine_orders: BTreeMap::new(),
            capacity: Capacity::default(),
            preemptor: Preemptor::default(),
            order_pace: OrderPace::new(self.settings.machine_orders_per_s),
            machines: MachineList::new(now_ms),
            recurring: BTreeSet::new(),
            proposed_occurrences: BTreeSet::new(),
            held_back: BTreeSet::new(),
            workers_ending: BTreeSet::new(),
            silent_workers: BTreeSet::new(),
            silence_checked_ms: now_ms,
            next_id: start >> 16,
            dirty: true,
            last_pass_ms: now_ms,
            last_machine_check_ms: now_ms,
            last_demand_ms: now_ms,
            changed_ms: now_ms,
            next_forget_ms: now_ms + FORGET_INTERVAL_MS,
            began_ms: now_ms,
        }));
        tracing::info!(
            term,
            applied = self.applied_index,
            workers = self.state.workers().len(),
            jobs = self.state.active().count(),
            "lead: begins"
        );
        self.out.push(Effect::Count(Decision::LeadBegan));
        for (id, call, may_have_effect) in self.relay.take_all() {
            if may_have_effect {
                self.uncertain_calls.insert(id);
            }
            self.answer_call(now_ms, CallOrigin::Here(id), call);
        }
    }

    pub(super) fn end_leadership(&mut self) {
        let Some(lead) = self.leader_state.take() else {
            return;
        };
        tracing::info!(
            term = lead.term,
            orders = lead.orders.len(),
            machine_orders = lead.machine_orders.len(),
            "lead: ends"
        );
        // A successor may order the same machines from now on. An order that a network
        // partition delays would reach a machine after the successor's orders. Where nobody
        // checks fencing tokens, two leaders would then control it alternately.
        self.out.push(Effect::AbortOrders);
        for caller in lead.held_calls.into_callers() {
            let answer = match caller {
                CallOrigin::Here(_) => Answer::Refused(Refusal::Busy {
                    retry_after_ms: ELECTION_TIMEOUT_MS,
                }),
                CallOrigin::Peer(..) => Answer::NotLeader { leader: None },
            };
            self.answer(&caller, answer);
        }
        for waiter in lead.pending.into_waiters() {
            let caller = match waiter {
                Waiter::Call(caller)
                | Waiter::Configure(caller)
                | Waiter::Accept { caller, .. }
                | Waiter::Cancel { caller, .. } => caller,
                Waiter::Place(_) | Waiter::Upkeep { .. } | Waiter::Ended { .. } => continue,
            };
            let answer = match caller {
                CallOrigin::Here(_) => Answer::Unknown,
                CallOrigin::Peer(..) => Answer::LeadLost,
            };
            self.answer(&caller, answer);
        }
    }

    pub(super) fn propose(&mut self, change: Change, waiter: Option<Waiter>) {
        if let Some(lead) = &mut self.leader_state {
            lead.pending.add(change, waiter);
        }
    }

    pub(super) fn tick_lead(&mut self, now_ms: u64) {
        self.update_carriers(now_ms);
        if !self.leads(now_ms) {
            return;
        }
        self.update_leases(now_ms);
        self.check_silence(now_ms);
        self.create_due_occurrences(now_ms);
        self.record_starts(now_ms);
        self.manage_machines(now_ms);
        self.forget_ended_jobs(now_ms);
        self.run_pass(now_ms);
    }

    /// Looks for availability zones and racks from which nothing is heard any more.
    fn check_silence(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        if now_ms < lead.silence_checked_ms + SILENCE_CHECK_INTERVAL_MS
            || !self.settings.policy.placement.avoid_silent
        {
            return;
        }
        lead.silence_checked_ms = now_ms;
        let silent = lead.fleet.silent_workers(now_ms, &self.state);
        if silent.is_empty() != lead.silent_workers.is_empty() {
            tracing::info!(
                workers = silent.len(),
                before = lead.silent_workers.len(),
                "workers: a whole zone or rack became silent, or is heard again"
            );
            lead.dirty = true;
        }
        lead.silent_workers = silent;
    }

    /// Proposes the removal of workers that are gone, and the end of all runs on workers
    /// whose leases have expired.
    pub(super) fn expire_workers(&mut self, now_ms: u64, workers: &[InstanceName]) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let mut changes = Vec::new();
        for name in workers {
            let Some(link) = lead.fleet.link_mut(name) else {
                continue;
            };
            if !link.has_lapsed(now_ms) {
                continue;
            }
            link.lapse_check_ms = now_ms + LAPSE_CHECK_INTERVAL_MS;
            if lead.workers_ending.contains(name) {
                continue;
            }
            let worker = self.state.worker(name);
            let heard_ms = lead.reports.heard_ms(name).max(link.heard_ms());
            let silent_ms = now_ms - heard_ms.unwrap_or(lead.began_ms);
            if link.may_run_unheard(now_ms) {
                let before = changes.len();
                changes.extend(
                    link.confirmed_runs()
                        .map(|(task, attempt)| Change::Unplace {
                            task,
                            attempt,
                            worker: name.clone(),
                        }),
                );
                if changes.len() > before {
                    tracing::info!(
                        worker = %name, runs = changes.len() - before,
                        "worker: its leases have expired, but not those of unanswered starts"
                    );
                }
                continue;
            }
            let is_gone = worker.is_none_or(|w| w.leaving) || silent_ms > SILENT_WORKER_TIMEOUT_MS;
            let worker = name.clone();
            if is_gone {
                changes.push(Change::Gone { worker });
            } else if !link.runs.is_empty() {
                changes.push(Change::Lapse { worker });
            }
        }
        for change in changes {
            if let Change::Gone { worker } | Change::Lapse { worker } = &change {
                let runs = lead.fleet.runs_on(&self.state, worker).count();
                tracing::info!(%worker, runs, ?change, "worker: its leases have expired");
                lead.workers_ending.insert(worker.clone());
                self.out.push(Effect::Count(Decision::WorkerLapsed));
            }
            lead.pending.add(change, None);
        }
    }

    /// Proposes the removal of a worker incarnation because another incarnation answered at
    /// its address.
    pub(super) fn replace_worker(&mut self, worker: &InstanceName) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        if lead.workers_ending.insert(worker.clone()) {
            tracing::info!(%worker, "worker: another incarnation answers at its address");
            let change = Change::Gone {
                worker: worker.clone(),
            };
            lead.pending.add(change, None);
        }
    }

    /// Proposes to record the starts of jobs that have run for a while.
    fn record_starts(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        for run in lead.unrecorded_starts.take_due(now_ms, &self.state) {
            let change = Change::Place {
                task: run.task,
                attempt: run.attempt,
                worker: run.worker,
            };
            lead.pending.add(change, None);
        }
    }

    fn forget_ended_jobs(&mut self, now_ms: u64) {
        let unix_ms = self.clock.unix_ms(now_ms);
        let remember_ms = self.settings.timing.remember_ms;
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        if now_ms < lead.next_forget_ms {
            return;
        }
        lead.next_forget_ms = now_ms + FORGET_INTERVAL_MS;
        // The doubled time keeps a caller's job status available even if the clock jumped.
        let before_unix_ms = unix_ms.saturating_sub(2 * remember_ms);
        lead.pending.add(Change::Forget { before_unix_ms }, None);
        let state = &self.state;
        lead.scheduler
            .sizes
            .retain(|job| state.job(job).is_some_and(|job| job.verdict.is_none()));
        lead.scheduler.faults.retain(now_ms, |job| {
            state.job(job).is_some_and(|job| job.verdict.is_none())
        });
        lead.scheduler
            .shares
            .retain(|job| state.job(job).is_some_and(|job| job.verdict.is_none()));
        lead.scheduler
            .tickets
            .retain(|step| state.job(step.job).is_some_and(|job| job.verdict.is_none()));
    }
}

/// Returns whether a job counts toward the job sizes that are learnt for its queue.
pub(super) fn counts_toward_sizes(job: &Job) -> bool {
    job.spec.recurrence.is_none() && !job.spec.lasts()
}
