//! Orders to workers and what comes of them.
//!
//! A start leaves only after its placement is durable, so that any later leader
//! knows what may run. A start that is not answered may still be carried out, late
//! and after newer orders. It is sent again as it is, which a worker takes as the
//! same start; if that stays unanswered too, the run is stopped, after which the
//! worker refuses it for good. Only then may the task start elsewhere. A start that has
//! certainly not left, nor an earlier sending of it, needs none of that.

use super::super::{
    Change, Decision, Effect, Order, OrderKind, OrderOutcome, Placement, Rejection, RunPhase,
    RunView,
};
use super::Node;
use super::lead::Lead;
use super::pass::want_stop;
use crate::jobs::TaskId;
use crate::model::InstanceName;

/// How long a short order's answer is waited for: many round trips of 1 to 3 ms.
pub(super) const ORDER_TIMEOUT_MS: u64 = 400;
/// Starts that are sent again as they are before the run is given up.
const START_AGAIN_MAX: u32 = 2;
/// Stops on their way at once, as many as starts. A caller may cancel thousands of tasks at
/// a time: without a bound the leader needs longer to write their stops than an answer is
/// waited for, and gives them all again.
const STOPS_OPEN_MAX: usize = 192;
/// Pause before a stop that was not answered is ordered again.
const STOP_AGAIN_MS: u64 = 250;
/// Rest of a worker that had less room than it said; its next end frees some.
const ROOM_REST_MS: u64 = 150;
/// Rest of a worker that says that it is not healthy.
const UNHEALTHY_REST_MS: u64 = 1_000;
/// Rest of a worker to which a start did not leave: others wait for their turn there.
const CROWDED_REST_MS: u64 = 150;
/// Questions to the advisor at once. It answers one at a time for each caller and
/// refuses the 32nd that waits.
const QUESTIONS_MAX: usize = 6;
/// Workers in one question, as the advisor allows.
const QUESTION_WORKERS_MAX: usize = 100;
/// A ticket is not used in the last part of its time, in percent, as the start needs
/// time to arrive.
const TICKET_USED_PERCENT: u64 = 80;
/// How long a refusal by the advisor is remembered: it does not change.
const REFUSAL_MS: u64 = 3_600_000;

/// An order whose outcome is awaited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Sent {
    Start(Placement),
    Stop(Placement),
    Renew { worker: InstanceName, sent_ms: u64 },
    Throttle(Placement),
}

impl Sent {
    pub(super) fn worker(&self) -> &InstanceName {
        match self {
            Self::Start(p) | Self::Stop(p) | Self::Throttle(p) => &p.worker,
            Self::Renew { worker, .. } => worker,
        }
    }
}

impl Lead {
    /// The stops to order now: those that are due for longest, so that runs on workers that
    /// do not answer hold up nobody else's.
    fn take_stops(&mut self, now_ms: u64) -> Vec<Placement> {
        let mut due = Vec::new();
        for (name, link) in self.fleet.links() {
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
        let open = sent.filter(|sent| matches!(sent, Sent::Stop(_))).count();
        due.sort_by_key(|(again_ms, ..)| *again_ms);
        due.truncate(STOPS_OPEN_MAX.saturating_sub(open));
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
    /// Sends an order to a worker that is known; `false` if it is not.
    pub(super) fn order(&mut self, sent: Sent, kind: OrderKind, timeout_ms: u64) -> bool {
        let Some(lead) = &mut self.lead else {
            return false;
        };
        let Some(worker) = self.state.worker(sent.worker()) else {
            return false;
        };
        let id = lead.draw_id();
        let order = Order {
            id,
            address: worker.report.address,
            worker: sent.worker().clone(),
            fence: lead.term,
            timeout_ms,
            kind,
        };
        let own = lead.carriers.assign(order);
        self.out.extend(own.map(Effect::Order));
        lead.orders.insert(id, sent);
        true
    }

    /// Orders a start whose placement is durable.
    pub(super) fn start(&mut self, now_ms: u64, start: &Placement) {
        let Some(lead) = &mut self.lead else {
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
            return self.not_started(start);
        }
        self.send_start(now_ms, start);
    }

    fn send_start(&mut self, now_ms: u64, start: &Placement) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(job) = self.state.job(start.task.job) else {
            return;
        };
        // A placement may become durable after the leader found that the worker's leases have
        // run out, and before the change that frees all runs there. Its start would leave with
        // a new lease, and the task start elsewhere beside it. None leaves while such a change
        // is on its way; what is placed after the change is durable after it.
        if lead.ending.contains(&start.worker) {
            return self.not_started(start);
        }
        let checkpoint = job.task(start.task).map(|t| t.checkpoint.clone());
        let link = lead.fleet.link_mut(&start.worker);
        let Some(lease_end_ms) = link.and_then(|link| link.grant(now_ms)) else {
            return self.not_started(start);
        };
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
        if !self.order(Sent::Start(start.clone()), kind, ORDER_TIMEOUT_MS) {
            self.not_started(start);
        }
    }

    /// A start that never happened and cannot happen any more.
    fn not_started(&mut self, start: &Placement) {
        let change = Change::Unplace {
            task: start.task,
            attempt: start.attempt,
            worker: start.worker.clone(),
        };
        self.propose(change, None);
    }

    /// Takes what came of an order.
    pub(super) fn ordered(&mut self, now_ms: u64, id: u64, outcome: OrderOutcome) {
        let Some(lead) = &mut self.lead else {
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
            return self.worker_over(&sent.worker().clone());
        }
        let clock_ms = match &outcome {
            OrderOutcome::Done { clock_ms } | OrderOutcome::Rejected { clock_ms, .. } => *clock_ms,
            OrderOutcome::Listed { .. } | OrderOutcome::Unanswered | OrderOutcome::NotSent => None,
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
            Sent::Start(start) => self.start_ordered(now_ms, &start, &outcome),
            Sent::Stop(stop) => self.stop_ordered(now_ms, &stop, &outcome),
            Sent::Renew { worker, sent_ms } => self.renewed(now_ms, &worker, sent_ms, outcome),
            Sent::Throttle(run) => self.throttled(&run, &outcome),
        }
    }

    fn start_ordered(&mut self, now_ms: u64, start: &Placement, outcome: &OrderOutcome) {
        let Some(lead) = &mut self.lead else {
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
                    "task: a start did not leave"
                );
                link.start_cooldown(now_ms, CROWDED_REST_MS);
                self.not_started(start);
            }
            // An earlier sending of the same start may still arrive.
            OrderOutcome::Unanswered | OrderOutcome::NotSent => {
                tracing::info!(
                    task = %start.task, attempt = start.attempt, worker = %start.worker,
                    unanswered = unanswered + 1, "task: a start is not answered"
                );
                view.phase = RunPhase::Starting {
                    unanswered: unanswered + 1,
                };
                self.out.push(Effect::Count(Decision::StartSentAgain));
                if unanswered + 1 > START_AGAIN_MAX {
                    want_stop(now_ms, Some(view));
                } else {
                    self.send_start(now_ms, start);
                }
            }
            OrderOutcome::Rejected { reason, .. } => {
                tracing::info!(
                    task = %start.task, attempt = start.attempt, worker = %start.worker,
                    %reason, unanswered, "task: a start is rejected"
                );
                self.out
                    .push(Effect::Count(Decision::StartRejected(*reason)));
                // An earlier sending of the same start may still arrive.
                if unanswered > 0 || *reason == Rejection::Fence {
                    want_stop(now_ms, Some(view));
                } else {
                    match reason {
                        Rejection::Room => link.start_cooldown(now_ms, ROOM_REST_MS),
                        Rejection::Unhealthy => link.start_cooldown(now_ms, UNHEALTHY_REST_MS),
                        _ => {}
                    }
                    if *reason == Rejection::Ticket {
                        let step = TaskId {
                            index: 0,
                            ..start.task
                        };
                        lead.scheduler.tickets.remove(&step);
                    }
                    self.not_started(start);
                }
            }
        }
    }

    /// Orders stops that are wanted and not on their way, as many as may be.
    pub(super) fn order_stops(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        for stop in lead.take_stops(now_ms) {
            let kind = OrderKind::Stop {
                task: stop.task,
                attempt: stop.attempt,
            };
            self.order(Sent::Stop(stop), kind, ORDER_TIMEOUT_MS);
        }
    }

    fn stop_ordered(&mut self, now_ms: u64, stop: &Placement, outcome: &OrderOutcome) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(view) = lead.fleet.run_mut(&stop.worker, stop.task, stop.attempt) else {
            return;
        };
        view.phase = match outcome {
            OrderOutcome::Done { .. } | OrderOutcome::Listed { .. } => {
                RunPhase::Stopped { at_ms: now_ms }
            }
            // It waited for its turn, and waits again.
            OrderOutcome::NotSent => RunPhase::Stopping {
                ordered: false,
                again_ms: now_ms,
            },
            OrderOutcome::Rejected { .. } | OrderOutcome::Unanswered => RunPhase::Stopping {
                ordered: false,
                again_ms: now_ms + STOP_AGAIN_MS,
            },
        };
    }

    /// Sets the share of a run's speed.
    pub(super) fn throttle(&mut self, run: Placement, percent: u8) {
        if let Some(lead) = &mut self.lead
            && let Some(view) = lead.fleet.run_mut(&run.worker, run.task, run.attempt)
        {
            view.share_percent = percent;
        }
        tracing::info!(task = %run.task, worker = %run.worker, percent, "task: its share is set");
        let kind = OrderKind::Throttle {
            task: run.task,
            attempt: run.attempt,
            percent,
        };
        self.order(Sent::Throttle(run), kind, ORDER_TIMEOUT_MS);
    }

    fn throttled(&mut self, run: &Placement, outcome: &OrderOutcome) {
        if matches!(outcome, OrderOutcome::Done { .. }) {
            return;
        }
        if let Some(lead) = &mut self.lead
            && let Some(view) = lead.fleet.run_mut(&run.worker, run.task, run.attempt)
        {
            // Whatever it has now, the next look orders it again.
            view.share_percent = UNKNOWN_SHARE;
        }
    }

    /// Asks the advisor about steps whose tickets are missing.
    pub(super) fn ask_advice(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        for (step, mut workers) in lead.scheduler.take_missing_advice() {
            let asked = lead.questions.values().any(|(s, ..)| *s == step);
            if asked || lead.questions.len() >= QUESTIONS_MAX {
                continue;
            }
            workers.truncate(QUESTION_WORKERS_MAX);
            let job = self.state.job(step.job);
            let queue = job.and_then(|j| self.state.configuration()?.queue(&j.queue));
            let Some(advice) = queue.and_then(|q| q.advice) else {
                continue;
            };
            let takes_ms = advice.decision_ms + advice.per_worker_ms * workers.len() as u64;
            let id = lead.draw_id();
            lead.questions.insert(
                id,
                (
                    step,
                    workers.clone(),
                    now_ms + advice.validity_ms * TICKET_USED_PERCENT / 100,
                ),
            );
            self.out.push(Effect::Advise {
                id,
                step,
                workers,
                timeout_ms: takes_ms * QUESTIONS_MAX as u64 + ORDER_TIMEOUT_MS,
            });
        }
    }

    pub(super) fn advised(
        &mut self,
        now_ms: u64,
        id: u64,
        allowed: Option<Vec<(InstanceName, String)>>,
    ) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some((step, asked, until_ms)) = lead.questions.remove(&id) else {
            return;
        };
        lead.dirty = true;
        let Some(allowed) = allowed else {
            tracing::warn!(%step, "advisor: no answer");
            return;
        };
        tracing::info!(%step, asked = asked.len(), allowed = allowed.len(), "advisor: answered");
        lead.scheduler
            .take_advice(now_ms, step, &asked, allowed, until_ms, REFUSAL_MS);
    }
}

/// No share that is ever ordered.
const UNKNOWN_SHARE: u8 = u8::MAX;
