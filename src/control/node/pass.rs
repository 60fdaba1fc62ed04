//! The pass that a leader makes again and again over what changed and what waits.

use super::super::{Change, RunPhase, RunView, SchedulerWorld, State, Upkeep};
use super::Node;
use super::lead::{Lead, Waiter};
use crate::jobs::JobId;

/// Between two passes of the scheduler at least: ends and arrivals gather for so
/// long, which costs a task about a hundredth of its run time.
const PASS_MS: u64 = 8;
/// Between two passes at most: time alone brings tasks forward.
const IDLE_PASS_MS: u64 = 100;

impl Node {
    /// One look at what changed and what waits: stops first, as they free room.
    pub(super) fn pass(&mut self, now_ms: u64) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let due_ms = lead.pass_ms + if lead.dirty { PASS_MS } else { IDLE_PASS_MS };
        if now_ms < due_ms {
            return;
        }
        lead.pass_ms = now_ms;
        let unix_ms = self.clock.unix_ms(now_ms);
        let world = SchedulerWorld {
            state: &self.state,
            fleet: &lead.fleet,
            estimates: match self.settings.policy.order.learn {
                true => self.state.history().estimates(),
                false => &self.unlearnt,
            },
            policy: &self.settings.policy,
        };
        let looked = lead.scheduler.refresh(unix_ms, &world);
        let starts_open = self.settings.policy.placement.starts_open;
        let starts_max = starts_open.saturating_sub(lead.open_starts());
        let mut starts = Vec::new();
        if starts_max > 0 {
            let closed = lead
                .upkeep
                .closed_workers()
                .chain(lead.capacity.closed_workers());
            lead.scheduler.closed = closed.cloned().collect();
            lead.scheduler.upkeep_due = Upkeep::due_workers(&self.state);
            starts = lead.scheduler.pass(now_ms, &world, starts_max);
        }
        self.looked += std::mem::take(&mut lead.scheduler.looked);
        // What finds no place in the window is looked at again.
        lead.dirty = starts.len() >= starts_max;
        for start in starts {
            let change = Change::Place {
                task: start.task,
                attempt: start.attempt,
                worker: start.worker.clone(),
            };
            lead.pending.add(change, Some(Waiter::Place(start)));
        }
        self.looked += lead.recurring.len() as u64;
        for job in looked {
            lead.follow_up(now_ms, &self.state, job);
        }
        self.order_stops(now_ms);
        self.ask_advice(now_ms);
    }

    /// Brings into being the occurrences whose time has come.
    pub(super) fn bring_due(&mut self, now_ms: u64) {
        let unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.lead else {
            return;
        };
        for job in lead.recurring.iter().filter_map(|id| self.state.job(*id)) {
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
}

impl Lead {
    /// Sees to a job that changed: wants stopped what nobody wants, runs of a job that
    /// came to its end and copies of tasks that are done, and minds its next occurrence.
    fn follow_up(&mut self, now_ms: u64, state: &State, id: JobId) {
        let Some(job) = state.job(id) else {
            self.recurring.remove(&id);
            return;
        };
        match job.next_due() {
            Some(_) => self.recurring.insert(id),
            None => self.recurring.remove(&id),
        };
        let over = job.verdict.is_some();
        for (task, run) in job.runs() {
            let unwanted = over || job.task(task).is_some_and(|t| t.done);
            if unwanted && let Some(link) = self.fleet.link_mut(&run.worker) {
                want_stop(now_ms, link.runs.get_mut(&(task, run.attempt)));
            }
        }
    }
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
