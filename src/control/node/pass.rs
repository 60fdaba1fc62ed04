//! The scheduling pass: the leader's periodic look at changed jobs and waiting steps.

use std::collections::{BTreeMap, BTreeSet};

use super::Node;
use super::leader_state::{LeaderState, Waiter};
use crate::control::placement::{Hold, PoolRoom};
use crate::control::{Change, Decision, Effect, RunPhase, RunView, SchedulerInput, State, Upkeep};
use crate::jobs::JobId;
use crate::model::PoolName;

/// Minimum time between two scheduling passes. Run ends and arrivals accumulate in between.
const MIN_PASS_INTERVAL_MS: u64 = 8;
/// Maximum time between two passes. Priorities change with time alone, so passes are needed
/// without events too.
const MAX_PASS_INTERVAL_MS: u64 = 100;

impl Node {
    /// Runs a scheduling pass if one is due: places tasks that wait and sends the stops of
    /// runs that are no longer wanted.
    pub(super) fn run_pass(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let due_ms = lead.last_pass_ms
            + if lead.dirty {
                MIN_PASS_INTERVAL_MS
            } else {
                MAX_PASS_INTERVAL_MS
            };
        if now_ms < due_ms {
            return;
        }
        lead.last_pass_ms = now_ms;
        let unix_ms = self.clock.unix_ms(now_ms);
        let world = SchedulerInput {
            state: &self.state,
            fleet: &lead.fleet,
            estimates: match self.settings.policy.order.learn {
                true => self.state.history().estimates(),
                false => &self.default_estimates,
            },
            policy: &self.settings.policy,
        };
        let changed = lead.scheduler.refresh(unix_ms, &world);
        let starts_open = self.settings.policy.placement.starts_open;
        let starts_max = starts_open.saturating_sub(lead.open_starts());
        let mut starts = Vec::new();
        if starts_max > 0 {
            let closed = lead
                .upkeep
                .closed_workers()
                .chain(lead.capacity.closed_workers());
            let closed = closed.chain(&lead.silent_workers);
            lead.scheduler.closed = closed.cloned().collect();
            lead.scheduler.upkeep_due = Upkeep::due_workers(&self.state);
            let at_quota = lead.scheduler.at_quota.clone();
            starts = lead.scheduler.pass(now_ms, &world, starts_max);
            for workspace in lead.scheduler.at_quota.difference(&at_quota) {
                let quota = world.state.configuration();
                let quota = quota.and_then(|c| c.workspace(workspace.as_str()));
                let used = world.state.usage().get(workspace);
                tracing::info!(
                    %workspace, ?used, quota = ?quota.map(|w| w.quota),
                    "workspace: tasks wait for its quota"
                );
                self.out.push(Effect::Count(Decision::QuotaReached));
            }
            for workspace in at_quota.difference(&lead.scheduler.at_quota) {
                tracing::info!(%workspace, "workspace: no task waits for its quota any more");
            }
        }
        self.visited += std::mem::take(&mut lead.scheduler.visited);
        // Tasks that found no free start slot are considered again in the next pass.
        lead.dirty = starts.len() >= starts_max;
        for start in starts {
            let change = Change::Place {
                task: start.task,
                attempt: start.attempt,
                worker: start.worker.clone(),
            };
            lead.pending.add(change, Some(Waiter::Place(start)));
        }
        self.visited += lead.recurring.len() as u64;
        for job in changed {
            lead.update_after_change(now_ms, &self.state, job);
        }
        self.report_waiting_steps(now_ms);
        self.send_stops(now_ms);
        self.request_advice(now_ms);
    }

    /// Logs for each pool the step that was held longest by something other than room.
    fn report_waiting_steps(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let looks = &mut lead.waiting_steps;
        let Some(due) = looks.take_due(now_ms, &self.state, &lead.fleet) else {
            return;
        };
        let mut rooms: BTreeMap<PoolName, PoolRoom> = BTreeMap::new();
        let mut holds = BTreeMap::new();
        for step in due {
            let Some(pending) = lead.scheduler.pending_step(&self.state, step) else {
                continue;
            };
            let pool = &pending.job.pool;
            if !rooms.contains_key(pool) {
                let room = lead
                    .scheduler
                    .pool_room(now_ms, &self.state, &lead.fleet, pool);
                rooms.insert(pool.clone(), room);
            }
            let hold = lead
                .scheduler
                .hold(now_ms, &lead.fleet, &pending, &rooms[pool]);
            if hold != Hold::Room {
                holds.insert(step, (pool, hold));
            }
        }
        let held = holds.keys().copied().collect();
        let mut reported = BTreeSet::new();
        for (step, waited_ms) in lead.waiting_steps.record_held(now_ms, held) {
            let (pool, hold) = &holds[&step];
            if !reported.insert(*pool) {
                continue;
            }
            let room = &rooms[*pool];
            tracing::info!(
                %step, %pool, waited_ms, ?hold,
                taking = room.free.len(), closed = room.closed, unavailable = room.unavailable,
                "task: a step waits beside room"
            );
            self.out.push(Effect::Count(Decision::StepHeld));
        }
    }
}

impl LeaderState {
    /// Updates the leader's view of a changed job. It requests the stop of runs that are no
    /// longer needed, which are those of an ended job and duplicates of finished tasks, and
    /// tracks whether a further occurrence is due.
    fn update_after_change(&mut self, now_ms: u64, state: &State, id: JobId) {
        let Some(job) = state.job(id) else {
            self.held_back.remove(&id);
            self.recurring.remove(&id);
            return;
        };
        match job.next_due() {
            Some(_) => self.recurring.insert(id),
            None => {
                self.held_back.remove(&id);
                self.recurring.remove(&id)
            }
        };
        let ended = job.verdict.is_some();
        for (task, run) in job.runs() {
            let unwanted = ended || job.task(task).is_some_and(|t| t.done);
            if unwanted && let Some(link) = self.fleet.link_mut(&run.worker) {
                request_stop(now_ms, link.runs.get_mut(&(task, run.attempt)));
            }
        }
    }
}

/// Marks a run to be stopped, unless it is being stopped already.
pub(super) fn request_stop(now_ms: u64, view: Option<&mut RunView>) {
    if let Some(view) = view
        && !view.is_stopping()
    {
        view.phase = RunPhase::Stopping {
            ordered: false,
            again_ms: now_ms,
        };
    }
}
