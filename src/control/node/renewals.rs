//! Renewals of workers' leases. The answer to a renewal also lists running tasks and ended
//! runs.

use super::Node;
use super::orders::ORDER_TIMEOUT_MS;
use super::pass::request_stop;
use super::run_ends::may_close;
use super::sent_order::SentOrder;
use crate::control::workers::RENEWAL_SLACK_MS;
use crate::control::{
    Change, Decision, Effect, Ended, OrderKind, OrderOutcome, Placement, Rejection, RunPhase,
    Running, Throttle, WorkerStart, is_stalled,
};
use crate::model::InstanceName;

/// How long a renewal waits at the worker for a run to end. An end is reported at once. The
/// lease lasts several times as long, so it survives some lost renewals, and reported
/// progress is at most this old.
const RENEWAL_WAIT_MS: u64 = 1_000;
/// How long a renewal waits at an idle worker; the longest that workers allow. Nothing ends
/// there, so only its lease needs the renewal.
const IDLE_RENEWAL_WAIT_MS: u64 = 2_000;
/// Minimum time between two renewals of a worker. Ends accumulate in between, which bounds
/// the number of calls that a busy worker causes.
const MIN_RENEWAL_GAP_MS: u64 = 15;
/// Cooldown of a worker on which a run stalled.
const STALLED_RUN_COOLDOWN_MS: u64 = 3_000;
/// Share of a fault from which a stalled run counts against its worker.
const BLAMED_SHARE: f64 = 0.5;
/// How long the next renewal waits for the listed ends to become durable. After that the
/// worker is asked anyway, because its lease must not expire.
const ENDS_COMMIT_TIMEOUT_MS: u64 = 700;

impl Node {
    /// Renews the leases that are due, and frees the runs of workers whose leases have
    /// expired.
    pub(super) fn update_leases(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let due = lead.fleet.take_due(now_ms, &self.state);
        self.visited += due.len() as u64;
        self.renew_leases(now_ms, &due);
        self.expire_workers(now_ms, &due);
    }

    fn renew_leases(&mut self, now_ms: u64, workers: &[InstanceName]) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let state = &self.state;
        let mut due = Vec::new();
        for name in workers {
            let Some(link) = lead.fleet.link_mut(name) else {
                continue;
            };
            if !link.is_renewal_due(now_ms) {
                continue;
            }
            if state.worker(name).is_none_or(|w| w.leaving) {
                continue;
            }
            let wait_ms = match (link.is_confirmed(), link.runs.is_empty()) {
                (false, _) => 0,
                (true, false) => RENEWAL_WAIT_MS,
                (true, true) => IDLE_RENEWAL_WAIT_MS,
            };
            let kind = OrderKind::Renew {
                lease_end_ms: link.begin_renewal(now_ms, wait_ms),
                acknowledged: link.acknowledgement(),
                wait_ms,
            };
            due.push((name.clone(), kind, wait_ms + RENEWAL_SLACK_MS));
        }
        for (name, kind, timeout_ms) in due {
            let sent = SentOrder::Renew {
                worker: name,
                sent_ms: now_ms,
            };
            self.send_order(sent, kind, timeout_ms);
        }
    }

    pub(super) fn finish_renewal(
        &mut self,
        now_ms: u64,
        worker: &InstanceName,
        sent_ms: u64,
        started_unix_ms: Option<u64>,
        outcome: OrderOutcome,
    ) {
        let OrderOutcome::Listed {
            clock_ms,
            running,
            ended,
        } = outcome
        else {
            return self.handle_failed_renewal(now_ms, worker, &outcome);
        };
        let start = self.check_worker_start(now_ms, worker, started_unix_ms);
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let link = match start {
            WorkerStart::Known => lead.fleet.note_start(worker, started_unix_ms),
            // The worker is asked again under the numbers of its new process.
            WorkerStart::Later => return,
            WorkerStart::Earlier => {
                let link = lead.fleet.link_mut(worker);
                return link.map_or((), |link| link.renewal_not_sent(now_ms));
            }
        };
        let Some(link) = link else {
            return;
        };
        if !link.is_heard(now_ms) || !link.is_confirmed() {
            lead.dirty = true;
            tracing::info!(
                %worker, running = running.len(), ended = ended.len(),
                "worker: responds"
            );
        }
        for (task, attempt) in link.newly_confirmed(&running) {
            let run = Placement {
                task,
                attempt,
                worker: worker.clone(),
            };
            lead.unrecorded_starts.note(now_ms, &self.state, &run);
        }
        let missing_runs = link.listed(now_ms, sent_ms, clock_ms, &running, &ended);
        let new_ends: Vec<Ended> = ended
            .into_iter()
            .filter(|end| end.number > link.proposed)
            .collect();
        link.renew_ms = now_ms + MIN_RENEWAL_GAP_MS;
        if let Some(last) = new_ends.iter().map(|end| end.number).max() {
            link.proposed = last;
        }
        if link.proposed > link.acknowledged {
            link.renew_ms = now_ms + ENDS_COMMIT_TIMEOUT_MS;
        }
        for (task, attempt) in missing_runs {
            tracing::info!(
                %task, attempt, %worker,
                "task: not found on its worker, the placement is withdrawn"
            );
            let worker = worker.clone();
            let change = Change::Unplace {
                task,
                attempt,
                worker,
            };
            self.propose(change, None);
        }
        for end in new_ends {
            self.run_ended(now_ms, worker, end);
        }
        self.stop_unknown_runs(worker, &running);
        self.stop_stalled_runs(now_ms, worker);
        self.adjust_best_effort_shares(now_ms, worker);
    }

    /// Compares the start time that a worker said with the one that is known, and begins anew
    /// with a worker that has started again under its name.
    pub(super) fn check_worker_start(
        &mut self,
        now_ms: u64,
        worker: &InstanceName,
        started_unix_ms: Option<u64>,
    ) -> WorkerStart {
        let Some(lead) = &mut self.leader_state else {
            return WorkerStart::Known;
        };
        let Some(link) = lead.fleet.link_mut(worker) else {
            return WorkerStart::Known;
        };
        let start = link.compare_start(started_unix_ms);
        let (WorkerStart::Later, Some(started_unix_ms)) = (start, started_unix_ms) else {
            return start;
        };
        tracing::info!(
            %worker, started_unix_ms, runs = link.runs.len(),
            "worker: it has started again under its name"
        );
        link.start_again(now_ms, started_unix_ms);
        lead.dirty = true;
        // What is still open was meant for the earlier process, and so is its answer.
        lead.orders.retain(|_, sent| sent.worker() != worker);
        start
    }

    fn handle_failed_renewal(
        &mut self,
        now_ms: u64,
        worker: &InstanceName,
        outcome: &OrderOutcome,
    ) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(link) = lead.fleet.link_mut(worker) else {
            return;
        };
        if *outcome == OrderOutcome::NotSent {
            tracing::debug!(%worker, "worker: a renewal was not sent");
            return link.renewal_not_sent(now_ms);
        }
        if link.is_heard(now_ms) {
            tracing::info!(%worker, ?outcome, "worker: a renewal failed");
        }
        link.renewal_failed(now_ms);
        if let OrderOutcome::Rejected {
            reason: Rejection::Fence,
            ..
        } = outcome
        {
            tracing::warn!(
                %worker, term = lead.term,
                "worker: it has seen the fencing token of a newer leader"
            );
        }
    }

    /// Stops stalled runs so that they start elsewhere, and puts the worker on a cooldown if it
    /// may be at fault.
    fn stop_stalled_runs(&mut self, now_ms: u64, worker: &InstanceName) {
        let unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(link) = lead.fleet.link_mut(worker) else {
            return;
        };
        let mut blamed = false;
        for ((task, attempt), view) in link.runs.iter_mut() {
            let Some(job) = self.state.job(task.job) else {
                continue;
            };
            let step = &job.spec.steps[usize::from(task.step)];
            let running = matches!(view.phase, RunPhase::Running { .. });
            if !running || step.best_effort || step.gang || (step.lasting && view.percent >= 100) {
                continue;
            }
            if let Some((placed_unix_ms, _)) = view.expected.filter(|_| view.is_inherited) {
                view.note_inherited(unix_ms.saturating_sub(placed_unix_ms));
            }
            if is_stalled(now_ms, view, &self.settings.policy.runs) {
                let share = lead.scheduler.faults.run_stalled(now_ms, *task, worker);
                tracing::info!(
                    %task, attempt, %worker, percent = view.percent,
                    percent_ms = view.percent_ms(), earlier = view.stalls, share,
                    "task: the run stalled and is started again"
                );
                self.out.push(Effect::Count(Decision::RunStalled));
                request_stop(now_ms, Some(view));
                blamed |= share >= BLAMED_SHARE;
            }
        }
        if blamed
            && may_close(now_ms, worker, &lead.fleet, &self.state)
            && let Some(link) = lead.fleet.link_mut(worker)
        {
            link.start_cooldown(now_ms, STALLED_RUN_COOLDOWN_MS);
        }
    }

    /// Stops runs that are not in the replicated state. Nobody waits for their results, and
    /// they take room that is assigned to others.
    fn stop_unknown_runs(&mut self, worker: &InstanceName, running: &[Running]) {
        let Some(lead) = &self.leader_state else {
            return;
        };
        let Some(link) = lead.fleet.link(worker) else {
            return;
        };
        let unknown: Vec<Placement> = running
            .iter()
            .filter(|run| !link.runs.contains_key(&(run.task, run.attempt)))
            .map(|run| Placement {
                task: run.task,
                attempt: run.attempt,
                worker: worker.clone(),
            })
            .collect();
        for run in unknown {
            tracing::info!(
                task = %run.task, attempt = run.attempt, %worker,
                "task: an unknown run is stopped"
            );
            let kind = OrderKind::Stop {
                task: run.task,
                attempt: run.attempt,
            };
            self.send_order(SentOrder::Stop(run), kind, ORDER_TIMEOUT_MS);
        }
    }

    /// Sets the speed of best-effort tasks from the tail latencies of the latency-sensitive
    /// tasks on the same worker.
    fn adjust_best_effort_shares(&mut self, now_ms: u64, worker: &InstanceName) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(link) = lead.fleet.link(worker) else {
            return;
        };
        let mut worst_ratio: Option<f64> = None;
        let mut best_effort = Vec::new();
        for ((task, attempt), view) in link.runs.iter() {
            let job = self.state.job(task.job);
            let Some(step) = job.and_then(|j| j.spec.steps.get(usize::from(task.step))) else {
                continue;
            };
            if step.best_effort {
                best_effort.push((*task, *attempt, view.share_percent, view.is_stopping()));
            } else if let (Some(target_ms), Some(tail_ms)) = (step.tail_target_ms, view.gauge) {
                let ratio = tail_ms as f64 / target_ms.max(1) as f64;
                worst_ratio = Some(worst_ratio.map_or(ratio, |w| w.max(ratio)));
            }
        }
        if best_effort.is_empty() {
            lead.throttles.remove(worker);
            return;
        }
        let throttle = lead
            .throttles
            .entry(worker.clone())
            .or_insert_with(|| Throttle::new(now_ms));
        throttle.observe(now_ms, worst_ratio.unwrap_or(0.0));
        let percent = throttle.percent();
        for (task, attempt, share, stopping) in best_effort {
            if share != percent && !stopping {
                let run = Placement {
                    task,
                    attempt,
                    worker: worker.clone(),
                };
                self.set_share(run, percent);
            }
        }
    }
}
