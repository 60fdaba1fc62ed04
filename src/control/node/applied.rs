//! The leader's reaction to commands once they are applied to the state.

use std::collections::BTreeSet;

use super::Node;
use super::calls::acceptance;
use super::leader_state::{Waiter, counts_toward_sizes};
use crate::control::{Access, Answer, Change, Command, Refusal, Workspace};
use crate::jobs::JobId;

impl Node {
    /// Handles an applied command if this instance leads.
    pub(super) fn on_command_applied(&mut self, now_ms: u64, command: &Command) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let waiters = lead.pending.applied(command);
        let waiters = waiters.into_iter().chain(std::iter::repeat_with(|| None));
        for (change, waiter) in command.changes.iter().zip(waiters) {
            self.on_change_applied(now_ms, change);
            if let Some(waiter) = waiter {
                self.resolve_waiter(now_ms, waiter);
            }
        }
        self.log_finished_jobs(command);
    }

    /// Logs for each job that ended where its time went. A long wait means that there was
    /// no room or no leader; more placements than tasks mean that tasks were run again.
    fn log_finished_jobs(&self, command: &Command) {
        let ends = command.changes.iter().filter_map(|change| match change {
            Change::End { task, .. } => Some(task.job),
            _ => None,
        });
        for id in ends.collect::<BTreeSet<JobId>>() {
            let Some(job) = self.state.job(id) else {
                continue;
            };
            let (Some(verdict), true) =
                (job.verdict, job.ended_unix_ms == Some(command.at_unix_ms))
            else {
                continue;
            };
            let takes_ms = self.state.history().estimates().run_times_ms(job);
            let chain_ms = job.spec.critical_paths_ms(&takes_ms).into_iter().max();
            let chain_ms = chain_ms.unwrap_or(0);
            let configuration = self.state.configuration();
            let queue = configuration.and_then(|c| c.queue(&job.queue));
            let since_ms = |unix_ms: u64| unix_ms.saturating_sub(job.accepted_unix_ms);
            tracing::info!(
                job = %id, queue = job.queue, %verdict,
                took_ms = since_ms(command.at_unix_ms),
                waited_ms = job.started_unix_ms.map(since_ms),
                objective_ms = queue.map(|q| q.objective_ms(chain_ms) as u64),
                chain_ms,
                tasks = job.spec.tasks(),
                placements = job.placements,
                "job: ended"
            );
        }
    }

    fn on_change_applied(&mut self, now_ms: u64, change: &Change) {
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        lead.dirty = true;
        if !matches!(change, Change::Forget { .. }) {
            lead.changed_ms = now_ms;
        }
        if let Some(job) = change.job() {
            lead.scheduler.touch(job);
            lead.unrecorded_starts.update(&self.state, job);
        }
        match change {
            Change::Unplace {
                task,
                attempt,
                worker,
            }
            | Change::End {
                task,
                attempt,
                worker,
                ..
            } => {
                if let Some(link) = lead.fleet.link_mut(worker) {
                    link.runs.remove(&(*task, *attempt));
                }
            }
            Change::Report(report) => {
                lead.fleet.add_link(now_ms, &report.worker);
                lead.fleet.touch(&report.worker);
                // The previous workers at this address are asked at once. The new
                // incarnation answers in their place, which ends them sooner than the
                // expiry of their leases.
                let at_address = self.state.workers_at(report.address);
                for name in at_address.filter(|name| **name != report.worker) {
                    if let Some(link) = lead.fleet.link_mut(name) {
                        link.renewal_sent_ms = None;
                        link.renew_ms = now_ms;
                    }
                }
            }
            Change::Lapse { worker } => {
                lead.workers_ending.remove(worker);
                if let Some(link) = lead.fleet.link_mut(worker) {
                    let jobs = link.runs.keys().map(|(task, _)| task.job);
                    jobs.for_each(|job| lead.scheduler.touch(job));
                    link.runs.clear();
                }
            }
            Change::Gone { worker } => {
                lead.workers_ending.remove(worker);
                if let Some(link) = lead.fleet.link(worker) {
                    let jobs = link.runs.keys().map(|(task, _)| task.job);
                    jobs.for_each(|job| lead.scheduler.touch(job));
                }
                lead.fleet.remove_link(worker);
                lead.reports.forget(worker);
                lead.throttles.remove(worker);
            }
            Change::Leave { worker } => lead.fleet.touch(worker),
            Change::Due { job, occurrence } => {
                lead.proposed_occurrences.remove(&(*job, *occurrence));
            }
            Change::UpkeepBegun { machine, .. } => {
                let gone = lead.machines.is_removed(machine);
                lead.upkeep.record_begun(now_ms, machine, gone, &self.state);
            }
            Change::Configure(_) => self.on_configuration_changed(),
            Change::ConfigurePart(part) if part.is_last() => self.on_configuration_changed(),
            Change::Accept { job, .. } | Change::AcceptFor { job, .. } => {
                if let Some(job) = self.state.job(*job)
                    && counts_toward_sizes(job)
                {
                    lead.scheduler.record_arrival(&self.state, job);
                }
            }
            Change::Cancel { job } => {
                lead.proposed_cancels.remove(job);
            }
            Change::ConfigurePart(_)
            | Change::Place { .. }
            | Change::Wave(_)
            | Change::UpkeepAsked { .. }
            | Change::Forget { .. } => {}
        }
    }

    /// Schedules all active jobs again, because another configuration may assign them other
    /// pools and ranks.
    fn on_configuration_changed(&mut self) {
        if let Some(lead) = &mut self.leader_state {
            for job in self.state.active() {
                lead.scheduler.touch(job.id);
            }
        }
        let Some(configuration) = self.state.configuration() else {
            return;
        };
        let workspaces = configuration.access.as_ref().map(Access::workspaces);
        tracing::info!(
            version = configuration.version,
            queues = configuration.queues.len(),
            workspaces = workspaces.map(<[Workspace]>::len),
            "configuration: in force"
        );
        for workspace in workspaces.into_iter().flatten() {
            let used = self.state.usage().get(&workspace.name);
            if workspace.quota.is_exceeded(&used) {
                tracing::info!(
                    workspace = %workspace.name, ?used, quota = ?workspace.quota,
                    "workspace: more runs than its new quota allows, none starts until less does"
                );
            }
        }
    }

    fn resolve_waiter(&mut self, now_ms: u64, waiter: Waiter) {
        match waiter {
            Waiter::Call(caller) => self.answer(&caller, Answer::Done),
            Waiter::Configure(caller) => {
                self.answer(&caller, Answer::Done);
                self.handle_held_calls(now_ms);
            }
            Waiter::Accept {
                caller,
                job,
                workspace,
            } => {
                if let Some(lead) = &mut self.leader_state {
                    lead.proposed_jobs.remove(&job);
                }
                // A job that was proposed before may have taken the id.
                let stored = self.state.job(job);
                let answer = stored.map_or(Answer::Unknown, |stored| {
                    acceptance(stored, workspace.as_ref())
                });
                if let (Some(accepted), Answer::Done) = (stored, &answer) {
                    tracing::info!(
                        %job, queue = accepted.queue, pool = %accepted.pool,
                        "job: accepted"
                    );
                }
                self.answer(&caller, answer);
            }
            Waiter::Cancel { caller, job } => {
                let answer = match self.state.job(job) {
                    Some(_) => Answer::Done,
                    None => Answer::Refused(Refusal::NotKnown),
                };
                self.answer(&caller, answer);
            }
            Waiter::Place(start) => self.order_start(now_ms, &start),
            Waiter::Upkeep {
                wave,
                machine,
                worker,
            } => self.begin_upkeep(wave, machine, worker),
            Waiter::Ended {
                worker,
                restarts,
                number,
            } => {
                if let Some(lead) = &mut self.leader_state
                    && let Some(link) = lead.fleet.link_mut(&worker)
                    && link.restarts() == restarts
                {
                    link.acknowledged = link.acknowledged.max(number);
                    link.renew_ms = link.renew_ms.min(now_ms);
                }
            }
        }
    }
}
