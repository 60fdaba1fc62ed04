//! Renewals of workers' leases, which also list what runs and what ended.

use super::super::{
    Change, Decision, Effect, Ended, OrderKind, OrderOutcome, Placement, Rejection, RunPhase,
    Running, Throttle, is_stalled,
};
use super::Node;
use super::lead::Waiter;
use super::orders::{ORDER_TIMEOUT_MS, Sent};
use super::pass::want_stop;
use crate::jobs::Ending;
use crate::model::InstanceName;

/// How long a renewal waits at the worker for an end. An end is told at once; its
/// lease, several times as long, outlives some lost ones, and progress is at most so
/// old.
const RENEWAL_WAIT_MS: u64 = 1_000;
/// How long it waits where nothing runs, the longest that workers allow: three of four
/// pools are idle at a time, and half of all looks were at their workers.
const IDLE_WAIT_MS: u64 = 2_000;
/// What a renewal's answer may take beyond its wait.
const RENEWAL_SLACK_MS: u64 = 500;
/// Between two renewals of a worker at least: ends gather, so that a busy worker
/// costs no more calls than this allows.
const RENEWAL_GAP_MS: u64 = 15;
/// Rest of a worker on which a run stood still; it is tried again after.
const STILL_REST_MS: u64 = 3_000;
/// If the ends of a listing are not durable by then, the worker is asked anyway, as
/// its lease must not run out.
const ENDS_PATIENCE_MS: u64 = 700;

impl Node {
    pub(super) fn renew_leases(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let state = &self.state;
        let mut due = Vec::new();
        for (name, link) in lead.fleet.links_mut() {
            if link.renewal_sent_ms.is_some() || now_ms < link.renew_ms {
                continue;
            }
            if state.worker(name).is_none_or(|w| w.leaving) {
                continue;
            }
            link.renewal_sent_ms = Some(now_ms);
            let wait_ms = match (link.is_confirmed(), link.runs.is_empty()) {
                (false, _) => 0,
                (true, false) => RENEWAL_WAIT_MS,
                (true, true) => IDLE_WAIT_MS,
            };
            link.renewal_wait_ms = wait_ms;
            let kind = OrderKind::Renew {
                lease_end_ms: link.renewal_end(now_ms),
                acknowledged: link.acknowledged,
                wait_ms,
            };
            due.push((name.clone(), kind, wait_ms + RENEWAL_SLACK_MS));
        }
        for (name, kind, timeout_ms) in due {
            let sent = Sent::Renew {
                worker: name,
                sent_ms: now_ms,
            };
            self.order(sent, kind, timeout_ms);
        }
    }

    pub(super) fn renewed(
        &mut self,
        now_ms: u64,
        worker: &InstanceName,
        sent_ms: u64,
        outcome: OrderOutcome,
    ) {
        let OrderOutcome::Listed {
            clock_ms,
            running,
            ended,
        } = outcome
        else {
            return self.not_renewed(now_ms, worker, &outcome);
        };
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(link) = lead.fleet.link_mut(worker) else {
            return;
        };
        if !link.is_heard(now_ms) || !link.is_confirmed() {
            lead.dirty = true;
            tracing::info!(%worker, running = running.len(), ended = ended.len(), "worker: heard");
        }
        let absent = link.listed(now_ms, sent_ms, clock_ms, &running, &ended);
        let fresh: Vec<Ended> = ended
            .into_iter()
            .filter(|end| end.number > link.proposed)
            .collect();
        link.renew_ms = now_ms + RENEWAL_GAP_MS;
        if let Some(last) = fresh.iter().map(|end| end.number).max() {
            link.proposed = last;
        }
        if link.proposed > link.acknowledged {
            link.renew_ms = now_ms + ENDS_PATIENCE_MS;
        }
        for (task, attempt) in absent {
            tracing::info!(%task, attempt, %worker, "task: it is not there and will not start");
            let worker = worker.clone();
            let change = Change::Unplace {
                task,
                attempt,
                worker,
            };
            self.propose(change, None);
        }
        for end in fresh {
            self.run_ended(now_ms, worker, end);
        }
        self.stop_strangers(worker, &running);
        self.restart_still(now_ms, worker);
        self.set_shares(now_ms, worker);
    }

    fn not_renewed(&mut self, now_ms: u64, worker: &InstanceName, outcome: &OrderOutcome) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(link) = lead.fleet.link_mut(worker) else {
            return;
        };
        if *outcome == OrderOutcome::NotSent {
            tracing::debug!(%worker, "worker: a renewal did not leave");
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
            tracing::warn!(%worker, term = lead.term, "worker: another leader was there");
        }
    }

    fn run_ended(&mut self, now_ms: u64, worker: &InstanceName, end: Ended) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if let Some(link) = lead.fleet.link_mut(worker)
            && link.runs.contains_key(&(end.task, end.attempt))
        {
            match end.ending {
                Ending::Done => link.run_done(now_ms),
                Ending::Failed => link.run_failed(now_ms, &self.settings.policy.runs),
                Ending::Stopped | Ending::Lapsed | Ending::Broken | Ending::Alone => {}
            }
        }
        tracing::info!(
            task = %end.task, attempt = end.attempt, %worker, ending = %end.ending,
            "task: a run ended"
        );
        self.out.push(Effect::Count(Decision::RunEnded(end.ending)));
        let change = Change::End {
            task: end.task,
            attempt: end.attempt,
            worker: worker.clone(),
            ending: end.ending,
            checkpoint: end.checkpoint,
        };
        let waiter = Waiter::Ended {
            worker: worker.clone(),
            number: end.number,
        };
        self.propose(change, Some(waiter));
    }

    /// Stops runs that stand still, to start them elsewhere, and gives the
    /// worker a rest.
    fn restart_still(&mut self, now_ms: u64, worker: &InstanceName) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(link) = lead.fleet.link_mut(worker) else {
            return;
        };
        let mut still = 0;
        for ((task, attempt), view) in link.runs.iter_mut() {
            let Some(job) = self.state.job(task.job) else {
                continue;
            };
            let step = &job.spec.steps[usize::from(task.step)];
            let running = matches!(view.phase, RunPhase::Running { .. });
            if !running || step.best_effort || step.gang || (step.lasting && view.percent >= 100) {
                continue;
            }
            if is_stalled(now_ms, view, &self.settings.policy.runs) {
                tracing::info!(
                    %task, attempt, %worker, percent = view.percent,
                    "task: it stands still and starts anew"
                );
                self.out.push(Effect::Count(Decision::RunStalled));
                want_stop(now_ms, Some(view));
                still += 1;
            }
        }
        if still > 0 {
            link.start_cooldown(now_ms, STILL_REST_MS);
        }
    }

    /// Stops runs that the state knows nothing of: whoever started them, nobody
    /// waits for them, and they take room that is given to others.
    fn stop_strangers(&mut self, worker: &InstanceName, running: &[Running]) {
        let Some(lead) = &self.lead else {
            return;
        };
        let Some(link) = lead.fleet.link(worker) else {
            return;
        };
        let strangers: Vec<Placement> = running
            .iter()
            .filter(|run| !link.runs.contains_key(&(run.task, run.attempt)))
            .map(|run| Placement {
                task: run.task,
                attempt: run.attempt,
                worker: worker.clone(),
            })
            .collect();
        for run in strangers {
            tracing::info!(task = %run.task, attempt = run.attempt, %worker, "task: nobody wants it");
            let kind = OrderKind::Stop {
                task: run.task,
                attempt: run.attempt,
            };
            self.order(Sent::Stop(run), kind, ORDER_TIMEOUT_MS);
        }
    }

    /// Sets the speed of best-effort tasks by the tails of those that serve.
    fn set_shares(&mut self, now_ms: u64, worker: &InstanceName) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let Some(link) = lead.fleet.link(worker) else {
            return;
        };
        let mut worst: Option<f64> = None;
        let mut filling = Vec::new();
        for ((task, attempt), view) in link.runs.iter() {
            let job = self.state.job(task.job);
            let Some(step) = job.and_then(|j| j.spec.steps.get(usize::from(task.step))) else {
                continue;
            };
            if step.best_effort {
                filling.push((*task, *attempt, view.share_percent, view.is_stopping()));
            } else if let (Some(target_ms), Some(tail_ms)) = (step.tail_target_ms, view.gauge) {
                let part = tail_ms as f64 / target_ms.max(1) as f64;
                worst = Some(worst.map_or(part, |w| w.max(part)));
            }
        }
        if filling.is_empty() {
            lead.throttles.remove(worker);
            return;
        }
        let throttle = lead
            .throttles
            .entry(worker.clone())
            .or_insert_with(|| Throttle::new(now_ms));
        throttle.observe(now_ms, worst.unwrap_or(0.0));
        let percent = throttle.percent();
        for (task, attempt, share, stopping) in filling {
            if share != percent && !stopping {
                let run = Placement {
                    task,
                    attempt,
                    worker: worker.clone(),
                };
                self.throttle(run, percent);
            }
        }
    }
}
