//! Sends orders to workers and handles their outcomes.
//!
//! A start is sent only after its placement is durable, so that any later leader knows what
//! may run. A start without an answer may still be carried out, late and after newer
//! orders. It is sent again unchanged, which a worker treats as the same start. If that is
//! not answered either, the run is stopped, after which the worker rejects the start
//! permanently. Only then may the task start elsewhere. None of this is needed for a start
//! that was certainly not sent, if no earlier copy of it was sent either.

use super::Node;
use super::leader_state::LeaderState;
use super::pass::request_stop;
use crate::control::{
    Change, Decision, Effect, Order, OrderKind, OrderOutcome, Placement, Rejection, RunPhase,
    RunView,
};
use crate::jobs::TaskId;
use crate::model::InstanceName;

/// How long the answer to a short order is awaited. A round trip takes 1 to 3 ms.
pub(super) const ORDER_TIMEOUT_MS: u64 = 400;
/// How often a start is sent again before the run is given up.
const MAX_START_RETRIES: u32 = 2;
/// Maximum number of stops in flight, the same as for starts. A caller may cancel thousands
/// of tasks at a time. Without a bound, writing their stops would take the leader longer
/// than the timeout for an answer, and it would send all of them again.
const MAX_STOPS_IN_FLIGHT: usize = 192;
/// Delay before an unanswered stop is sent again.
const STOP_RETRY_DELAY_MS: u64 = 250;
/// Cooldown of a worker that had less room than it reported. The next end of a run there
/// frees some.
const NO_ROOM_COOLDOWN_MS: u64 = 150;
/// Cooldown of a worker that reports that it is unhealthy.
const UNHEALTHY_COOLDOWN_MS: u64 = 1_000;
/// Cooldown of a worker to which a start could not be sent because other requests are
/// queued for it.
const NOT_SENT_COOLDOWN_MS: u64 = 150;
/// Maximum number of concurrent requests to the advisor. It answers one at a time for each
/// client and refuses the 32nd that is queued.
const MAX_ADVICE_REQUESTS: usize = 6;
/// Maximum number of workers in one advice request, as the advisor allows.
const MAX_WORKERS_PER_ADVICE_REQUEST: usize = 100;
/// Part of a ticket's validity, in percent, during which it is used. The rest is left for
/// the start to arrive.
const TICKET_USABLE_PERCENT: u64 = 80;
/// How long a refusal by the advisor is cached. Refusals do not change.
const REFUSAL_CACHE_MS: u64 = 3_600_000;

/// An order that awaits its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SentOrder {
    Start(Placement),
    Stop(Placement),
    Renew { worker: InstanceName, sent_ms: u64 },
    Throttle(Placement),
}

impl SentOrder {
    pub(super) fn worker(&self) -> &InstanceName {
        match self {
            Self::Start(p) | Self::Stop(p) | Self::Throttle(p) => &p.worker,
            Self::Renew { worker, .. } => worker,
        }
    }
}

impl LeaderState {
    /// Takes the stops to send now. Those that have been due for longest come first, so
    /// that runs on unresponsive workers do not delay other stops.
    fn take_due_stops(&mut self, now_ms: u64) -> Vec<Placement> {
        let mut due = Vec::new();
        for (name, link) in self.fleet.stopping() {
            for ((task, attempt), view) in link.runs.iter() {
                if let RunPhase::Stopping { ordered, again_ms } = view.phase
                    && !ordered
                    && now_ms >= again_ms
                {
                    due.push((again_ms, name, *task, *attempt));
                }
            }
        }
        if due.is_empty() {
            return Vec::new();
        }
        let sent = self.orders.values();
        let open = sent
            .filter(|sent| matches!(sent, SentOrder::Stop(_)))
            .count();
        due.sort_by_key(|(again_ms, ..)| *again_ms);
        due.truncate(MAX_STOPS_IN_FLIGHT.saturating_sub(open));
        let due = due.into_iter();
        let stops: Vec<Placement> = due
            .map(|(_, worker, task, attempt)| Placement {
                task,
                attempt,
                worker: worker.clone(),
            })
            .collect();
        for stop in &stops {
            if let Some(view) = self.fleet.run_mut(&stop.worker, stop.task, stop.attempt)
                && let RunPhase::Stopping { ordered, .. } = &mut view.phase
            {
                *ordered = true;
            }
        }
        stops
    }
}

impl Node {
    /// Sends an order to a worker. Returns `false` if the worker is unknown.
    pub(super) fn send_order(&mut self, sent: SentOrder, kind: OrderKind, timeout_ms: u64) -> bool {
        let Some(lead) = &mut self.leader_state else {
            return false;
        };
        let Some(worker) = self.state.worker(sent.worker()) else {
            return false;
        };
        let id = lead.allocate_id();
        let link = lead.fleet.link(sent.worker());
        let order = Order {
            id,
            address: worker.report.address,
            worker: sent.worker().clone(),
            fence: link.map_or(lead.term, |link| link.fence(lead.term)),
            timeout_ms,
            kind,
        };
        let own = lead.carriers.assign(order);
        self.out.extend(own.map(Effect::Order));
        lead.orders.insert(id, sent);
        true
    }

    /// Orders the start of a task whose placement is durable.
    pub(super) fn order_start(&mut self, now_ms: u64, start: &Placement) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        lead.scheduler.proposed.remove(&start.task);
        let job = self.state.job(start.task.job);
        let task = job.and_then(|job| job.task(start.task));
        let placed = task.is_some_and(|t| {
            let mut runs = t.runs.iter();
            runs.any(|r| r.attempt == start.attempt && r.worker == start.worker)
        });
        if !placed {
            return;
        }
        lead.fleet.add_link(now_ms, &start.worker);
        if let Some(link) = lead.fleet.link_mut(&start.worker) {
            let load = lead.scheduler.load_of(&self.state, start.task);
            let mut view = RunView::new(RunPhase::Starting { unanswered: 0 }, load);
            if let Some(job) = job {
                let step = usize::from(start.task.step);
                let takes_ms = self.state.history().estimates().run_times_ms(job);
                view.set_expected(
                    &job.spec.steps[step],
                    self.clock.unix_ms(now_ms),
                    takes_ms[step],
                );
            }
            link.runs.insert((start.task, start.attempt), view);
        }
        if job.is_some_and(|job| job.verdict.is_some()) {
            return self.withdraw_placement(start);
        }
        let link = lead.fleet.link_mut(&start.worker);
        match link.and_then(|link| link.grant(now_ms)) {
            Some(lease_end_ms) => self.send_start(start, lease_end_ms),
            None => self.withdraw_placement(start),
        }
    }

    fn send_start(&mut self, start: &Placement, lease_end_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(job) = self.state.job(start.task.job) else {
            return;
        };
        // A placement may become durable after the leader found that the worker's leases
        // have expired, and before the change that ends all runs there is applied. Its
        // start would be sent with a new lease, and the task would start elsewhere as well.
        // So no start is sent while such a change is proposed. A placement that is proposed
        // after that change also becomes durable after it.
        if lead.workers_ending.contains(&start.worker) {
            return self.withdraw_placement(start);
        }
        let checkpoint = job.task(start.task).map(|t| t.checkpoint.clone());
        let step = TaskId {
            index: 0,
            ..start.task
        };
        let tickets = lead.scheduler.tickets.get(&step);
        let ticket = tickets.and_then(|t| t.get(&start.worker)?.text.clone());
        tracing::info!(
            task = %start.task, attempt = start.attempt, worker = %start.worker, lease_end_ms,
            "task: placed, its start is ordered"
        );
        let kind = OrderKind::Start {
            task: start.task,
            attempt: start.attempt,
            payload: job.spec.payload.clone(),
            lease_end_ms,
            checkpoint: checkpoint.unwrap_or_default(),
            ticket,
        };
        if !self.send_order(SentOrder::Start(start.clone()), kind, ORDER_TIMEOUT_MS) {
            self.withdraw_placement(start);
        }
    }

    /// Withdraws a placement whose start never happened and can no longer happen.
    fn withdraw_placement(&mut self, start: &Placement) {
        let change = Change::Unplace {
            task: start.task,
            attempt: start.attempt,
            worker: start.worker.clone(),
        };
        self.propose(change, None);
    }

    /// Handles the outcome of an order.
    pub(super) fn finish_order(&mut self, now_ms: u64, id: u64, outcome: OrderOutcome) {
        let (started_unix_ms, outcome) = outcome.split_start();
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(sent) = lead.orders.remove(&id) else {
            return;
        };
        if let OrderOutcome::Rejected {
            reason: Rejection::Incarnation,
            ..
        } = outcome
        {
            return self.replace_worker(&sent.worker().clone());
        }
        let clock_ms = match &outcome {
            OrderOutcome::Done { clock_ms } | OrderOutcome::Rejected { clock_ms, .. } => *clock_ms,
            OrderOutcome::Listed { .. }
            | OrderOutcome::Unanswered
            | OrderOutcome::NotSent
            | OrderOutcome::Since { .. } => None,
        };
        if outcome == OrderOutcome::NotSent {
            self.out.push(Effect::Count(Decision::OrderNotSent));
        }
        if let Some(clock_ms) = clock_ms
            && let Some(link) = lead.fleet.link_mut(sent.worker())
        {
            link.record_clock(now_ms, clock_ms);
        }
        match sent {
            SentOrder::Start(start) => self.finish_start(now_ms, &start, &outcome),
            SentOrder::Stop(stop) => self.finish_stop(now_ms, &stop, &outcome),
            SentOrder::Renew { worker, sent_ms } => {
                self.finish_renewal(now_ms, &worker, sent_ms, started_unix_ms, outcome)
            }
            SentOrder::Throttle(run) => self.finish_throttle(&run, &outcome),
        }
    }

    fn finish_start(&mut self, now_ms: u64, start: &Placement, outcome: &OrderOutcome) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(link) = lead.fleet.link_mut(&start.worker) else {
            return;
        };
        let Some(view) = link.runs.get_mut(&(start.task, start.attempt)) else {
            return;
        };
        let RunPhase::Starting { unanswered } = view.phase else {
            return;
        };
        match outcome {
            OrderOutcome::Done { .. } | OrderOutcome::Listed { .. } => {
                view.phase = RunPhase::Running { since_ms: now_ms };
                tracing::debug!(
                    task = %start.task, attempt = start.attempt, worker = %start.worker,
                    "task: started"
                );
            }
            OrderOutcome::NotSent if unanswered == 0 => {
                tracing::info!(
                    task = %start.task, attempt = start.attempt, worker = %start.worker,
                    "task: a start was not sent"
                );
                link.start_cooldown(now_ms, NOT_SENT_COOLDOWN_MS);
                self.withdraw_placement(start);
            }
            // An earlier copy of the same start may still arrive.
            OrderOutcome::Unanswered | OrderOutcome::NotSent | OrderOutcome::Since { .. } => {
                tracing::info!(
                    task = %start.task, attempt = start.attempt, worker = %start.worker,
                    unanswered = unanswered + 1, "task: a start was not answered"
                );
                view.phase = RunPhase::Starting {
                    unanswered: unanswered + 1,
                };
                self.out.push(Effect::Count(Decision::StartSentAgain));
                if unanswered + 1 > MAX_START_RETRIES {
                    request_stop(now_ms, Some(view));
                } else {
                    // The lease is not extended: if the worker is lost, its tasks would wait
                    // longer for the end of the lease.
                    let lease_end_ms = link.lease_end_ms();
                    self.send_start(start, lease_end_ms);
                }
            }
            OrderOutcome::Rejected { reason, .. } => {
                tracing::info!(
                    task = %start.task, attempt = start.attempt, worker = %start.worker,
                    %reason, unanswered, "task: the worker rejected a start"
                );
                self.out
                    .push(Effect::Count(Decision::StartRejected(*reason)));
                // An earlier copy of the same start may still arrive.
                if unanswered > 0 || *reason == Rejection::Fence {
                    request_stop(now_ms, Some(view));
                } else {
                    match reason {
                        Rejection::Room => link.start_cooldown(now_ms, NO_ROOM_COOLDOWN_MS),
                        Rejection::Unhealthy => link.start_cooldown(now_ms, UNHEALTHY_COOLDOWN_MS),
                        _ => {}
                    }
                    if *reason == Rejection::Ticket {
                        let step = TaskId {
                            index: 0,
                            ..start.task
                        };
                        lead.scheduler.tickets.remove(&step);
                    }
                    self.withdraw_placement(start);
                }
            }
        }
    }

    /// Sends requested stops that are not in flight, up to the limit.
    pub(super) fn send_stops(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        lead.fleet.update(&self.state);
        for stop in lead.take_due_stops(now_ms) {
            let kind = OrderKind::Stop {
                task: stop.task,
                attempt: stop.attempt,
            };
            self.send_order(SentOrder::Stop(stop), kind, ORDER_TIMEOUT_MS);
        }
    }

    fn finish_stop(&mut self, now_ms: u64, stop: &Placement, outcome: &OrderOutcome) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(view) = lead.fleet.run_mut(&stop.worker, stop.task, stop.attempt) else {
            return;
        };
        view.phase = match outcome {
            OrderOutcome::Done { .. } | OrderOutcome::Listed { .. } => {
                RunPhase::Stopped { at_ms: now_ms }
            }
            // The order timed out in the local queue; it is queued again at once.
            OrderOutcome::NotSent => RunPhase::Stopping {
                ordered: false,
                again_ms: now_ms,
            },
            OrderOutcome::Rejected { .. }
            | OrderOutcome::Unanswered
            | OrderOutcome::Since { .. } => RunPhase::Stopping {
                ordered: false,
                again_ms: now_ms + STOP_RETRY_DELAY_MS,
            },
        };
    }

    /// Sets the share of its full speed at which a run may proceed.
    pub(super) fn set_share(&mut self, run: Placement, percent: u8) {
        if let Some(lead) = &mut self.leader_state
            && let Some(view) = lead.fleet.run_mut(&run.worker, run.task, run.attempt)
        {
            view.share_percent = percent;
        }
        tracing::info!(
            task = %run.task, worker = %run.worker, percent,
            "task: its speed share is set"
        );
        let kind = OrderKind::Throttle {
            task: run.task,
            attempt: run.attempt,
            percent,
        };
        self.send_order(SentOrder::Throttle(run), kind, ORDER_TIMEOUT_MS);
    }

    fn finish_throttle(&mut self, run: &Placement, outcome: &OrderOutcome) {
        if matches!(outcome, OrderOutcome::Done { .. }) {
            return;
        }
        if let Some(lead) = &mut self.leader_state
            && let Some(view) = lead.fleet.run_mut(&run.worker, run.task, run.attempt)
        {
            // The actual share is unknown now, so the next check orders it again.
            view.share_percent = UNKNOWN_SHARE;
        }
    }

    /// Requests advice about steps whose tickets are missing.
    pub(super) fn request_advice(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        for (step, mut workers) in lead.scheduler.take_missing_advice() {
            let asked = lead.advice_requests.values().any(|(s, ..)| *s == step);
            if asked || lead.advice_requests.len() >= MAX_ADVICE_REQUESTS {
                continue;
            }
            workers.truncate(MAX_WORKERS_PER_ADVICE_REQUEST);
            let job = self.state.job(step.job);
            let queue = job.and_then(|j| self.state.configuration()?.queue(&j.queue));
            let Some(advice) = queue.and_then(|q| q.advice) else {
                continue;
            };
            let takes_ms = advice.decision_ms + advice.per_worker_ms * workers.len() as u64;
            let id = lead.allocate_id();
            lead.advice_requests.insert(
                id,
                (
                    step,
                    workers.clone(),
                    now_ms + advice.validity_ms * TICKET_USABLE_PERCENT / 100,
                ),
            );
            self.out.push(Effect::Advise {
                id,
                step,
                workers,
                timeout_ms: takes_ms * MAX_ADVICE_REQUESTS as u64 + ORDER_TIMEOUT_MS,
            });
        }
    }

    pub(super) fn handle_advice(
        &mut self,
        now_ms: u64,
        id: u64,
        allowed: Option<Vec<(InstanceName, String)>>,
    ) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some((step, asked, until_ms)) = lead.advice_requests.remove(&id) else {
            return;
        };
        lead.dirty = true;
        let Some(allowed) = allowed else {
            tracing::warn!(%step, "advisor: a request was not answered");
            return;
        };
        tracing::info!(
            %step, asked = asked.len(), allowed = allowed.len(),
            "advisor: a request was answered"
        );
        lead.scheduler
            .take_advice(now_ms, step, &asked, allowed, until_ms, REFUSAL_CACHE_MS);
    }
}

/// A value that is never ordered, so that it differs from every wanted share.
const UNKNOWN_SHARE: u8 = u8::MAX;
