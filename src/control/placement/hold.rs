use super::pending_step::PendingStep;
use super::scheduler::Scheduler;
use crate::control::{Fleet, RunPhase, State};
use crate::jobs::{Resources, TaskId};
use crate::model::{InstanceName, PoolName};

/// What keeps a step whose turn has come from having a run at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::control) enum Hold {
    /// Starts are proposed to the log and not applied; the number of tasks.
    Proposed(usize),
    /// A run is recorded that no worker has confirmed.
    Recorded {
        /// The worker.
        worker: InstanceName,
        /// Number of the attempt.
        attempt: u32,
        /// State of the orders for the run, `None` if its worker's link has no view of it.
        phase: Option<RunPhase>,
        /// Time since the worker's last answer, if there was one.
        silent_ms: Option<u64>,
    },
    /// All its tasks have failed soon after their starts and are started again later.
    Delayed,
    /// The quota of the job's workspace has no room.
    Quota,
    /// No worker of the pool that takes work has room for a task.
    Room,
    /// So many workers that take work have room for a task.
    NotReached(usize),
}

/// The workers of a pool as a scheduling pass sees them.
#[derive(Debug, Default)]
pub(in crate::control) struct PoolRoom {
    /// Free resources of each worker that takes work.
    pub(in crate::control) free: Vec<Resources>,
    /// Workers that are closed to new tasks.
    pub(in crate::control) closed: usize,
    /// Workers that have not listed their runs, are silent or are in a cooldown.
    pub(in crate::control) unavailable: usize,
}

impl Scheduler {
    /// Returns the workers of a pool with their room.
    pub(in crate::control) fn pool_room(
        &self,
        now_ms: u64,
        state: &State,
        fleet: &Fleet,
        pool: &PoolName,
    ) -> PoolRoom {
        let mut room = PoolRoom::default();
        for (name, worker, link) in fleet.linked_workers(state) {
            if worker.report.pool != *pool {
                continue;
            }
            if !worker.takes_work() || self.closed.contains(name) {
                room.closed += 1;
            } else if !link.takes_work(now_ms) {
                room.unavailable += 1;
            } else {
                let used = link.runs.used().reserved;
                room.free.push(worker.report.capacity.saturating_sub(&used));
            }
        }
        room
    }

    /// Returns what holds a step of which no run is at work, beside its workers' room.
    pub(in crate::control) fn hold(
        &self,
        now_ms: u64,
        fleet: &Fleet,
        pending: &PendingStep,
        room: &PoolRoom,
    ) -> Hold {
        if let Some(hold) = recorded_run(now_ms, fleet, pending) {
            return hold;
        }
        if pending.waiting.is_empty() {
            let (first, last) = (pending.task(0), pending.task(u16::MAX));
            return Hold::Proposed(self.proposed.range(first..=last).count());
        }
        let mut waiting = pending.waiting.iter().map(|index| pending.task(*index));
        if waiting.all(|task| !self.faults.may_start(now_ms, task)) {
            return Hold::Delayed;
        }
        let workspace = pending.job.workspace.as_ref();
        if workspace.is_some_and(|workspace| self.at_quota.contains(workspace)) {
            return Hold::Quota;
        }
        let demand = pending.job.spec.steps[pending.step].reserved();
        match room.free.iter().filter(|free| free.fits(&demand)).count() {
            0 => Hold::Room,
            fitting => Hold::NotReached(fitting),
        }
    }

    /// Returns a step with the tasks that have no run and no proposed start, `None` if the state
    /// does not have it.
    pub(in crate::control) fn pending_step<'a>(
        &self,
        state: &'a State,
        step: TaskId,
    ) -> Option<PendingStep<'a>> {
        PendingStep::of_step(state, step, &self.proposed, |_| true)
    }
}

/// Returns a recorded run of the step, if there is one.
fn recorded_run(now_ms: u64, fleet: &Fleet, pending: &PendingStep) -> Option<Hold> {
    let (index, run) = pending.occurrence.runs(pending.step).next()?;
    let link = fleet.link(&run.worker);
    let task = pending.task(index);
    let view = fleet.run(&run.worker, task, run.attempt);
    let heard_ms = link.and_then(|link| link.heard_ms());
    Some(Hold::Recorded {
        worker: run.worker.clone(),
        attempt: run.attempt,
        phase: view.map(|view| view.phase),
        silent_ms: heard_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
    })
}
