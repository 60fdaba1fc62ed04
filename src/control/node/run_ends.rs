//! Ends of runs: whose fault a failure is, and what follows from it.

use rand::Rng;

use super::Node;
use super::leader_state::Waiter;
use crate::control::{
    Change, Decision, Effect, Ended, FailedRun, Fleet, OUTLIVING_MARGIN_MS, Restarts, State,
    WorkerLink,
};
use crate::jobs::{Job, RunResult, TaskId};
use crate::model::InstanceName;

/// Part of a pool's workers that stalled runs close at once at most: a third.
const CLOSED_PART: usize = 3;
/// Runs of a step that a failed run is compared with at most.
const RUNS_MAX: usize = 64;
/// Workers of a pool that a worker is compared with at most.
const PEERS_MAX: usize = 64;

impl Node {
    /// Proposes to record the end of a run that a worker has listed.
    pub(super) fn run_ended(&mut self, now_ms: u64, worker: &InstanceName, end: Ended) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(link) = lead.fleet.link_mut(worker) else {
            return;
        };
        let restarts = link.restarts();
        if link.runs.contains_key(&(end.task, end.attempt)) {
            match end.ending {
                RunResult::Done => {
                    link.run_done(now_ms);
                    self.run_done(now_ms, worker, &end);
                }
                RunResult::Failed => self.run_failed(now_ms, worker, &end),
                RunResult::Stopped | RunResult::Lapsed | RunResult::Broken | RunResult::Alone => {}
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
            restarts,
            number: end.number,
        };
        self.propose(change, Some(waiter));
    }

    /// Records that a run completed. A lasting task is started again however it ends.
    fn run_done(&mut self, now_ms: u64, worker: &InstanceName, end: &Ended) {
        let unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(job) = self.state.job(end.task.job) else {
            return;
        };
        if !job.spec.steps[usize::from(end.task.step)].lasting {
            return lead.scheduler.faults.run_done(end.task);
        }
        let worked_ms = unix_ms.saturating_sub(placed_unix_ms(job, worker, end, unix_ms));
        let jitter = self.rng.random();
        let faults = &mut lead.scheduler.faults;
        faults.lasting_run_done(now_ms, end.task, worked_ms, jitter);
    }

    /// Counts a failure against its worker as far as the worker may be at fault, and delays the
    /// next start of the task.
    fn run_failed(&mut self, now_ms: u64, worker: &InstanceName, end: &Ended) {
        let unix_ms = self.clock.unix_ms(now_ms);
        let policy = &self.settings.policy.runs;
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let Some(job) = self.state.job(end.task.job) else {
            return;
        };
        let placed_unix_ms = placed_unix_ms(job, worker, end, unix_ms);
        let before_unix_ms = placed_unix_ms.saturating_sub(OUTLIVING_MARGIN_MS);
        let failed = FailedRun {
            worked_ms: unix_ms.saturating_sub(placed_unix_ms),
            outliving: outliving_runs(job, end.task, worker, before_unix_ms),
            restarts: match job.spec.steps[usize::from(end.task.step)].lasting {
                true => Restarts::Lasting,
                false => Restarts::Limited,
            },
        };
        let jitter = self.rng.random();
        let faults = &mut lead.scheduler.faults;
        let share = faults.run_failed(now_ms, end.task, worker, failed, jitter);
        let Some(link) = lead.fleet.link_mut(worker) else {
            return;
        };
        if link.run_failed(now_ms, share, policy) {
            let usual = usual_failures(now_ms, worker, &lead.fleet, &self.state);
            if let Some(link) = lead.fleet.link_mut(worker) {
                let was_resting = link.is_resting(now_ms);
                link.rest_after_failures(now_ms, usual, policy);
                if !was_resting {
                    tracing::info!(
                        %worker, task = %end.task, share, failures = link.failures(), usual,
                        rests = link.is_resting(now_ms), "worker: many of its runs have failed"
                    );
                }
            }
        }
    }
}

/// Returns when a run that ended was placed, in milliseconds of Unix time; now if that is not
/// known.
fn placed_unix_ms(job: &Job, worker: &InstanceName, end: &Ended, unix_ms: u64) -> u64 {
    let task = job.task(end.task);
    let run = task.and_then(|task| task.runs.iter().find(|run| run.is(end.attempt, worker)));
    run.map_or(unix_ms, |run| run.placed_unix_ms)
}

/// Counts the runs of a task's step on other workers that were placed before a time, in
/// milliseconds of Unix time, among the first [`RUNS_MAX`].
fn outliving_runs(job: &Job, task: TaskId, worker: &InstanceName, before_unix_ms: u64) -> usize {
    let occurrence = job.occurrence(task.occurrence);
    let runs = occurrence.map(|o| o.runs(usize::from(task.step)).take(RUNS_MAX));
    let runs = runs.into_iter().flatten().map(|(_, run)| run);
    runs.filter(|run| run.worker != *worker && run.placed_unix_ms < before_unix_ms)
        .count()
}

/// Returns the workers of the same pool as a worker, without it, [`PEERS_MAX`] at most.
fn peers<'a>(
    worker: &InstanceName,
    fleet: &'a Fleet,
    state: &'a State,
) -> impl Iterator<Item = &'a WorkerLink> {
    let pool = state.worker(worker).map(|worker| &worker.report.pool);
    let workers = fleet.linked_workers(state);
    let peers = workers.filter(move |(name, other, _)| {
        *name != worker && Some(&other.report.pool) == pool && other.takes_work()
    });
    peers.map(|(_, _, link)| link).take(PEERS_MAX)
}

/// Returns how many failures the workers of a pool usually have: three quarters of the others
/// have as many or more.
fn usual_failures(now_ms: u64, worker: &InstanceName, fleet: &Fleet, state: &State) -> f64 {
    let peers = peers(worker, fleet, state);
    let mut failures: Vec<f64> = peers.map(|link| link.failures_at(now_ms)).collect();
    failures.sort_by(f64::total_cmp);
    failures.get(failures.len() / 4).copied().unwrap_or(0.0)
}

/// Returns whether a worker may be closed for a stalled run, beside those of its pool that are
/// closed already.
pub(super) fn may_close(now_ms: u64, worker: &InstanceName, fleet: &Fleet, state: &State) -> bool {
    let (mut all, mut resting) = (1, 1);
    for link in peers(worker, fleet, state) {
        all += 1;
        resting += usize::from(link.is_resting(now_ms));
    }
    all == 1 || resting * CLOSED_PART <= all
}
