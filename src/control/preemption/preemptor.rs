//! A machine that is drained for urgent work of another pool waits for the last of its runs,
//! which may take seconds, while the urgent work is late. Runs of work that yields are stopped
//! instead, if the machine then is free at once and the room that is gained is worth more than
//! the progress that is lost. A run that saves its progress loses only the time to restore it.
//! Work that is on time is stopped only if it can still be on time afterwards.

use std::collections::{BTreeMap, VecDeque};

use super::{PreemptionInput, Victim};
use crate::control::{Remaining, RunPhase, RunView, ServiceClass};
use crate::jobs::{Job, JobId, TaskId};
use crate::model::InstanceName;

/// Window over which lost work is limited.
const WINDOW_MS: u64 = 10_000;
/// Time within which stops of several runs of a job count as one: the runs of a job are spread
/// over machines, which are drained one after the other.
const TOGETHER_MS: u64 = 1_000;

/// Chooses the runs to stop. Its state is the leader's own: a new leader has stopped nothing yet,
/// and may stop a run of a job again sooner.
#[derive(Debug, Default)]
pub struct Preemptor {
    /// Jobs of which a run was stopped, each with the time of the first stop.
    stopped_ms: BTreeMap<JobId, u64>,
    /// Lost work of the last window, in core-milliseconds, with its time.
    lost: VecDeque<(u64, f64)>,
}

impl Preemptor {
    /// Returns the runs to stop on a worker that is drained for entitled work of `priority`.
    /// Empty if the machine would not be free then, or if that does not pay.
    pub fn choose(
        &mut self,
        now_ms: u64,
        now_unix_ms: u64,
        worker: &InstanceName,
        priority: u32,
        world: &PreemptionInput,
    ) -> Vec<Victim> {
        let policy = &world.policy.preemption;
        let Some(victims) = self.victims(now_ms, now_unix_ms, worker, priority, world) else {
            return Vec::new();
        };
        if victims.is_empty() {
            return victims;
        }
        let Some(report) = world.state.worker(worker).map(|worker| &worker.report) else {
            return Vec::new();
        };
        let longest_ms = victims.iter().map(|victim| victim.left_ms);
        let sooner_ms = longest_ms.fold(0.0, f64::max) - world.timing.stop_timeout_ms as f64;
        let gained = sooner_ms.max(0.0) * report.capacity.cores();
        let lost: f64 = victims.iter().map(|victim| victim.lost_work).sum();
        if lost > policy.loss_part * gained || lost > self.loss_left(now_ms, world) {
            return Vec::new();
        }
        for victim in &victims {
            self.stopped_ms.entry(victim.task.job).or_insert(now_ms);
        }
        self.lost.push_back((now_ms, lost));
        victims
    }

    /// Returns the runs whose stop frees the worker, `None` if there are others that last longer
    /// than the policy waits for.
    fn victims(
        &self,
        now_ms: u64,
        now_unix_ms: u64,
        worker: &InstanceName,
        priority: u32,
        world: &PreemptionInput,
    ) -> Option<Vec<Victim>> {
        let link = world.fleet.link(worker)?;
        let mut victims = Vec::new();
        for ((task, attempt), view) in link.runs.iter() {
            if view.is_stopping() {
                continue;
            }
            let left_ms = left_ms(now_unix_ms, view)?;
            if left_ms <= world.policy.preemption.soon_ms as f64 {
                continue;
            }
            let job = world.state.job(task.job)?;
            if job.verdict.is_some() {
                continue;
            }
            let (class, slack_ms) = class_of(now_unix_ms, job, *task, left_ms, world)?;
            let is_confirmed = matches!(view.phase, RunPhase::Running { .. });
            let is_late_after = class.is_entitled()
                && slack_ms < world.timing.restore_ms + world.policy.preemption.slack_ms;
            let is_kept = is_late_after || self.is_spared(now_ms, job, world);
            if !is_confirmed || !class.yields_to(priority) || is_kept {
                return None;
            }
            let step = job.spec.steps.get(usize::from(task.step))?;
            if step.gang {
                return None;
            }
            let lost_ms = match view.saves {
                true => world.timing.restore_ms as f64,
                false => passed_ms(now_unix_ms, view),
            };
            victims.push(Victim {
                task: *task,
                attempt: *attempt,
                class,
                left_ms,
                lost_work: lost_ms * step.demand.cores(),
            });
        }
        Some(victims)
    }

    /// Returns whether a run of the job was stopped too short a time ago.
    fn is_spared(&self, now_ms: u64, job: &Job, world: &PreemptionInput) -> bool {
        let stopped_ms = self.stopped_ms.get(&job.id);
        let again_ms = world.policy.preemption.again_ms;
        stopped_ms.is_some_and(|at_ms| (at_ms + TOGETHER_MS..at_ms + again_ms).contains(&now_ms))
    }

    /// Returns how much work may still be lost now, in core-milliseconds, and forgets what was
    /// stopped long ago.
    fn loss_left(&mut self, now_ms: u64, world: &PreemptionInput) -> f64 {
        let policy = &world.policy.preemption;
        self.stopped_ms
            .retain(|_, at_ms| now_ms < *at_ms + policy.again_ms);
        while self
            .lost
            .front()
            .is_some_and(|(at_ms, _)| now_ms >= at_ms + WINDOW_MS)
        {
            self.lost.pop_front();
        }
        let workers = world.state.workers().values();
        let cores: f64 = workers.map(|w| w.report.capacity.cores()).sum();
        let lost: f64 = self.lost.iter().map(|(_, lost)| lost).sum();
        policy.loss_share * cores * WINDOW_MS as f64 - lost
    }
}

/// Returns the time since the placement of a run that ends by itself, in milliseconds.
fn passed_ms(now_unix_ms: u64, view: &RunView) -> f64 {
    let placed = view.expected.map(|(placed_unix_ms, _)| placed_unix_ms);
    placed.map_or(0.0, |placed| now_unix_ms.saturating_sub(placed) as f64)
}

/// Returns the expected time until a run ends by itself, `None` for a lasting one. Progress as
/// listed goes before the estimate.
fn left_ms(now_unix_ms: u64, view: &RunView) -> Option<f64> {
    let (_, takes_ms) = view.expected?;
    let passed_ms = passed_ms(now_unix_ms, view);
    let by_estimate = takes_ms as f64 - passed_ms;
    let by_progress = passed_ms * (100.0 / f64::from(view.percent.max(1)) - 1.0);
    Some(match view.percent {
        0..=9 => by_estimate.max(0.0),
        _ => by_progress,
    })
}

/// Returns the class of the job of a run that has `left_ms` left, and how long the job can wait
/// before the class changes, in milliseconds.
fn class_of(
    now_unix_ms: u64,
    job: &Job,
    task: TaskId,
    left_ms: f64,
    world: &PreemptionInput,
) -> Option<(ServiceClass, u64)> {
    let configuration = world.state.configuration()?;
    let takes_ms = world.estimates.run_times_ms(job);
    let chains_ms = job.spec.critical_paths_ms(&takes_ms);
    let step = usize::from(task.step);
    let after_ms = chains_ms.get(step)?.saturating_sub(*takes_ms.get(step)?);
    let remaining = Remaining {
        chain_ms: chains_ms.iter().copied().max().unwrap_or(0),
        left_ms: left_ms as u64 + after_ms,
        work: 0.0,
        lasts: job.spec.lasts(),
        beyond_share: world.shares.is_beyond(job.id),
    };
    let due_unix_ms = job.due_unix_ms(task.occurrence);
    let queue = configuration.queue(&job.queue);
    let order = &world.policy.order;
    let (class, until_unix_ms) =
        ServiceClass::of(now_unix_ms, queue, due_unix_ms, &remaining, order);
    let slack_ms = until_unix_ms.map_or(0, |until| until.saturating_sub(now_unix_ms));
    Some((class, slack_ms))
}
