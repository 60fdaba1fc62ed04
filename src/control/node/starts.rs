//! Starts of placed tasks and their outcomes.
//!
//! A start is sent only after its placement is durable, so that any later leader knows what
//! may run. A start without an answer may still be carried out, late and after newer
//! orders. It is sent again unchanged, which a worker treats as the same start. If that is
//! not answered either, the run is stopped, after which the worker rejects the start
//! permanently. Only then may the task start elsewhere. None of this is needed for a start
//! that was certainly not sent, if no earlier copy of it was sent either.

use super::Node;
use super::orders::ORDER_TIMEOUT_MS;
use super::pass::request_stop;
use super::sent_order::SentOrder;
use crate::control::{
    Change, Decision, Effect, OrderKind, OrderOutcome, Placement, Rejection, RunPhase, RunView,
};
use crate::jobs::TaskId;

/// How often a start is sent again before the run is given up.
const MAX_START_RETRIES: u32 = 2;
/// Cooldown of a worker that had less room than it reported. The next end of a run there
/// frees some.
const NO_ROOM_COOLDOWN_MS: u64 = 150;
/// Cooldown of a worker that reports that it is unhealthy.
const UNHEALTHY_COOLDOWN_MS: u64 = 1_000;
/// Cooldown of a worker to which a start could not be sent because other requests are
/// queued for it.
const NOT_SENT_COOLDOWN_MS: u64 = 150;

impl Node {
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
            view.stalls = lead.scheduler.faults.stalls(start.task);
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
            Some(lease_end_ms) => self.send_start(now_ms, start, lease_end_ms),
            None => self.withdraw_placement(start),
        }
    }

    fn send_start(&mut self, now_ms: u64, start: &Placement, lease_end_ms: u64) {
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
        if let Some(link) = lead.fleet.link_mut(&start.worker) {
            link.record_lease_sent(now_ms, ORDER_TIMEOUT_MS);
            let clock_ms = link.clock_ms();
            if let Some(view) = link.run_mut(start.task, start.attempt) {
                view.start_clock_ms = clock_ms;
            }
        }
        let checkpoint = job.task(start.task).map(|t| t.checkpoint.clone());
        let step = TaskId {
            index: 0,
            ..start.task
        };
        let ticket = lead.scheduler.tickets.text(step, &start.worker);
        let ticket = ticket.map(str::to_owned);
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

    pub(super) fn finish_start(&mut self, now_ms: u64, start: &Placement, outcome: &OrderOutcome) {
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
            OrderOutcome::Done { clock_ms } => {
                view.phase = RunPhase::Running { since_ms: now_ms };
                // A clock that is behind what was read before is that of a later process, whose
                // next listing says when it started.
                let is_behind = clock_ms.is_some_and(|at_ms| at_ms < view.start_clock_ms);
                view.confirmed = clock_ms.is_some() && !is_behind;
                if is_behind {
                    link.renewal_sent_ms = None;
                    link.renew_ms = now_ms;
                }
                link.start_effective();
                lead.unrecorded_starts.note(now_ms, &self.state, start);
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
            OrderOutcome::Unanswered
            | OrderOutcome::NotSent
            | OrderOutcome::Listed { .. }
            | OrderOutcome::Since { .. } => {
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
                    link.start_ineffective(now_ms);
                } else {
                    // The lease is not extended: if the worker is lost, its tasks would wait
                    // longer for the end of the lease.
                    let lease_end_ms = link.lease_end_ms();
                    self.send_start(now_ms, start, lease_end_ms);
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
                let may_arrive = unanswered > 0 || *reason == Rejection::Fence;
                if may_arrive {
                    request_stop(now_ms, Some(view));
                }
                match reason {
                    Rejection::Room => link.start_cooldown(now_ms, NO_ROOM_COOLDOWN_MS),
                    Rejection::Unhealthy => link.start_cooldown(now_ms, UNHEALTHY_COOLDOWN_MS),
                    // Says something about the ticket of the step and nothing about the worker.
                    Rejection::Ticket => {}
                    // The incarnation is removed.
                    Rejection::Incarnation => {}
                    Rejection::Fence | Rejection::Old | Rejection::Late | Rejection::Malformed => {
                        link.start_ineffective(now_ms)
                    }
                }
                if !may_arrive {
                    if *reason == Rejection::Ticket {
                        let step = TaskId {
                            index: 0,
                            ..start.task
                        };
                        lead.scheduler.tickets.forget(step);
                    }
                    self.withdraw_placement(start);
                }
            }
        }
    }
}
