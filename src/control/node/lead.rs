//! What a leader has beside the replicated state, from the beginning of its lead to
//! its end, and the pass that it makes again and again.

use std::collections::{BTreeMap, BTreeSet};

use super::super::pending::Pending;
use super::super::{
    Answer, Capacity, Change, Command, Decision, Effect, Fleet, Forecast, MachineList,
    MachineOrder, Placement, Reports, RunPhase, RunView, Scheduler, SchedulerWorld, Throttle,
    Upkeep,
};
use super::orders::Sent;
use super::{Caller, Node};
use crate::jobs::{Job, JobId, TaskId};
use crate::model::InstanceName;

/// Between two passes of the scheduler at least: ends and arrivals gather for so
/// long, which costs a task about a hundredth of its run time.
const PASS_MS: u64 = 8;
/// Between two passes at most: time alone brings tasks forward.
const IDLE_PASS_MS: u64 = 100;
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
    pub(super) questions: BTreeMap<u64, (TaskId, Vec<InstanceName>, u64)>,
    pub(super) upkeep: Upkeep,
    pub(super) machine_orders: BTreeMap<u64, (MachineOrder, Option<InstanceName>)>,
    pub(super) capacity: Capacity,
    pub(super) machines: MachineList,
    due: BTreeSet<(JobId, u32)>,
    /// Workers about whose end a change is on its way.
    pub(super) ending: BTreeSet<InstanceName>,
    pub(super) next_id: u64,
    /// Whether something happened that may let a task start.
    pub(super) dirty: bool,
    pass_ms: u64,
    pub(super) keep_ms: u64,
    forget_ms: u64,
    since_ms: u64,
}

impl Lead {
    /// Starts that are on their way: into the log, or to a worker.
    fn open_starts(&self) -> usize {
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
        for job in jobs.iter().filter(|job| counts_as_size(job)) {
            scheduler
                .sizes
                .arrived(job, self.state.history().estimates());
        }
        self.lead = Some(Box::new(Lead {
            term,
            fleet: Fleet::new(now_ms, lease_ms, &self.state),
            pending: Pending::new(self.settings.me.clone(), start),
            scheduler,
            forecast: Forecast::default(),
            reports: Reports::default(),
            throttles: BTreeMap::new(),
            orders: BTreeMap::new(),
            questions: BTreeMap::new(),
            upkeep: Upkeep::new(now_ms, &self.state),
            machine_orders: BTreeMap::new(),
            capacity: Capacity::default(),
            machines: MachineList::new(now_ms),
            due: BTreeSet::new(),
            ending: BTreeSet::new(),
            next_id: start >> 16,
            dirty: true,
            pass_ms: now_ms,
            keep_ms: now_ms,
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
                Caller::Peer(..) => Answer::NotLeader { leader: None },
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

    /// One look at everything that waits: stops first, as they free room.
    fn pass(&mut self, now_ms: u64) {
        let estimates = match self.settings.policy.order.learn {
            true => self.state.history().estimates(),
            false => &self.unlearnt,
        };
        let Some(lead) = &mut self.lead else {
            return;
        };
        let due_ms = lead.pass_ms + if lead.dirty { PASS_MS } else { IDLE_PASS_MS };
        if now_ms < due_ms {
            return;
        }
        lead.pass_ms = now_ms;
        let starts_open = self.settings.policy.placement.starts_open;
        let starts_max = starts_open.saturating_sub(lead.open_starts());
        // What finds no place in the window is looked at again.
        lead.dirty = starts_max == 0;
        let unix_ms = self.clock.unix_ms(now_ms);
        let closed = lead.upkeep.closed().chain(lead.capacity.closed());
        let closed = closed.cloned().collect();
        lead.scheduler.closed = closed;
        lead.scheduler.due = Upkeep::due(&self.state);
        let world = SchedulerWorld {
            state: &self.state,
            fleet: &lead.fleet,
            estimates,
            policy: &self.settings.policy,
        };
        let starts = match starts_max {
            0 => Vec::new(),
            _ => lead.scheduler.pass(now_ms, unix_ms, &world, starts_max),
        };
        self.looked += std::mem::take(&mut lead.scheduler.looked);
        for start in starts {
            let change = Change::Place {
                task: start.task,
                attempt: start.attempt,
                worker: start.worker.clone(),
            };
            lead.pending.add(change, Some(Waiter::Place(start)));
        }
        self.stop_unwanted(now_ms);
        self.order_stops(now_ms);
        self.ask_advice(now_ms);
    }

    /// Takes note of a command that is applied, if this instance leads.
    pub(super) fn applied(&mut self, now_ms: u64, command: &Command) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let waiters = lead.pending.applied(command);
        let waiters = waiters.into_iter().chain(std::iter::repeat_with(|| None));
        for (change, waiter) in command.changes.iter().zip(waiters) {
            self.change_applied(now_ms, change);
            if let Some(waiter) = waiter {
                self.waited(now_ms, waiter);
            }
        }
        self.tell_ended(command);
    }

    /// Says of each job that came to its end what took its time: one that waited long
    /// found no room or no leader, one with more placements than tasks was run again.
    fn tell_ended(&self, command: &Command) {
        let ends = command.changes.iter().filter_map(|change| match change {
            Change::End { task, .. } => Some(task.job),
            _ => None,
        });
        for id in ends.collect::<BTreeSet<JobId>>() {
            let Some(job) = self.state.job(id) else {
                continue;
            };
            let (Some(verdict), true) =
                (job.verdict, job.ended_unix_ms == Some(command.at_unix_ms))
            else {
                continue;
            };
            let takes_ms = self.state.history().estimates().run_times_ms(job);
            let chain_ms = job.spec.chains_ms(&takes_ms).into_iter().max();
            let chain_ms = chain_ms.unwrap_or(0);
            let configuration = self.state.configuration();
            let queue = configuration.and_then(|c| c.queue(&job.queue));
            let since_ms = |unix_ms: u64| unix_ms.saturating_sub(job.accepted_unix_ms);
            tracing::info!(
                job = %id, queue = job.queue, %verdict,
                took_ms = since_ms(command.at_unix_ms),
                waited_ms = job.started_unix_ms.map(since_ms),
                objective_ms = queue.map(|q| q.objective_ms(chain_ms) as u64),
                chain_ms,
                tasks = job.spec.tasks(),
                placements = job.placements,
                "job: over"
            );
        }
    }

    fn change_applied(&mut self, now_ms: u64, change: &Change) {
        let estimates = self.state.history().estimates();
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.dirty = true;
        match change {
            Change::Unplace {
                task,
                attempt,
                worker,
            }
            | Change::End {
                task,
                attempt,
                worker,
                ..
            } => {
                if let Some(link) = lead.fleet.link_mut(worker) {
                    link.runs.remove(&(*task, *attempt));
                }
            }
            Change::Report(report) => {
                lead.fleet.meet(now_ms, &report.worker);
                // Whoever was at this address before is asked at once: its successor
                // says that it is over, sooner than its lease runs out.
                let before = self.state.workers().iter().filter(|(name, worker)| {
                    worker.report.address == report.address && **name != report.worker
                });
                for (name, _) in before {
                    if let Some(link) = lead.fleet.link_mut(name) {
                        link.renewal_sent_ms = None;
                        link.renew_ms = now_ms;
                    }
                }
            }
            Change::Lapse { worker } => {
                lead.ending.remove(worker);
                if let Some(link) = lead.fleet.link_mut(worker) {
                    link.runs.clear();
                }
            }
            Change::Gone { worker } => {
                lead.ending.remove(worker);
                lead.fleet.part(worker);
                lead.reports.forget(worker);
                lead.throttles.remove(worker);
            }
            Change::Due { job, occurrence } => {
                lead.due.remove(&(*job, *occurrence));
            }
            Change::UpkeepBegun { machine, .. } => {
                let gone = lead.machines.is_gone(machine);
                lead.upkeep.begun(now_ms, machine, gone);
            }
            Change::Configure(_) => self.log_configuration(),
            Change::ConfigurePart(part) if part.is_last() => self.log_configuration(),
            Change::Accept { job, .. } => {
                if let Some(job) = self.state.job(*job)
                    && counts_as_size(job)
                {
                    lead.scheduler.sizes.arrived(job, estimates);
                }
            }
            Change::ConfigurePart(_)
            | Change::Cancel { .. }
            | Change::Place { .. }
            | Change::Leave { .. }
            | Change::Wave(_)
            | Change::UpkeepAsked { .. }
            | Change::Forget { .. } => {}
        }
    }

    fn log_configuration(&self) {
        if let Some(c) = self.state.configuration() {
            tracing::info!(
                version = c.version,
                queues = c.queues.len(),
                "configuration: in force"
            );
        }
    }

    fn waited(&mut self, now_ms: u64, waiter: Waiter) {
        match waiter {
            Waiter::Call(caller) => self.answer(&caller, Answer::Done),
            Waiter::Accept { caller, job } => {
                let known = self.state.job(job);
                if let Some(known) = known {
                    tracing::info!(%job, queue = known.queue, pool = %known.pool, "job: accepted");
                }
                let answer = known.map_or(Answer::Unknown, |_| Answer::Done);
                self.answer(&caller, answer);
            }
            Waiter::Place(start) => self.start(now_ms, &start),
            Waiter::Upkeep {
                wave,
                machine,
                worker,
            } => self.begin_upkeep(wave, machine, worker),
            Waiter::Ended { worker, number } => {
                if let Some(lead) = &mut self.lead
                    && let Some(link) = lead.fleet.link_mut(&worker)
                {
                    link.acknowledged = link.acknowledged.max(number);
                    link.renew_ms = link.renew_ms.min(now_ms);
                }
            }
        }
    }

    /// Wants stopped what nobody wants: runs of jobs that came to their end, and
    /// copies of tasks that are done.
    fn stop_unwanted(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        self.looked += self.state.active_count() as u64;
        for job in self.state.active() {
            let over = job.verdict.is_some();
            for (task, run) in job.runs() {
                let unwanted = over || job.task(task).is_some_and(|t| t.done);
                if unwanted && let Some(link) = lead.fleet.link_mut(&run.worker) {
                    want_stop(now_ms, link.runs.get_mut(&(task, run.attempt)));
                }
            }
        }
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

    fn bring_due(&mut self, now_ms: u64) {
        let unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.lead else {
            return;
        };
        self.looked += self.state.active_count() as u64;
        for job in self.state.active() {
            if let Some((occurrence, due_unix_ms)) = job.next_due()
                && unix_ms >= due_unix_ms
                && lead.due.insert((job.id, occurrence))
            {
                let change = Change::Due {
                    job: job.id,
                    occurrence,
                };
                lead.pending.add(change, None);
            }
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
fn counts_as_size(job: &Job) -> bool {
    job.spec.recurrence.is_none() && !job.spec.lasts()
}

/// Marks a run to be stopped, unless it is.
pub(super) fn want_stop(now_ms: u64, view: Option<&mut RunView>) {
    if let Some(view) = view
        && !view.is_stopping()
    {
        view.phase = RunPhase::Stopping {
            ordered: false,
            again_ms: now_ms,
        };
    }
}
