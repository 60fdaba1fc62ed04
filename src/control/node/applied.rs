//! What follows from a command once it is applied.

use std::collections::BTreeSet;

use super::super::{Answer, Change, Command};
use super::Node;
use super::lead::{Waiter, counts_as_size};
use crate::jobs::JobId;

impl Node {
    /// Takes note of a command that is applied, if this instance leads.
    pub(super) fn applied(&mut self, now_ms: u64, command: &Command) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let waiters = lead.pending.applied(command);
        let waiters = waiters.into_iter().chain(std::iter::repeat_with(|| None));
        for (change, waiter) in command.changes.iter().zip(waiters) {
            self.change_applied(now_ms, change);
            if let Some(waiter) = waiter {
                self.waited(now_ms, waiter);
            }
        }
        self.tell_ended(command);
    }

    /// Says of each job that came to its end what took its time: one that waited long
    /// found no room or no leader, one with more placements than tasks was run again.
    fn tell_ended(&self, command: &Command) {
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
            let chain_ms = job.spec.chains_ms(&takes_ms).into_iter().max();
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
                "job: over"
            );
        }
    }

    fn change_applied(&mut self, now_ms: u64, change: &Change) {
        let estimates = self.state.history().estimates();
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.dirty = true;
        if let Some(job) = change.job() {
            lead.scheduler.touch(job);
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
                // Whoever was at this address before is asked at once: its successor
                // says that it is over, sooner than its lease runs out.
                let there = self.state.workers_at(report.address);
                for name in there.filter(|name| **name != report.worker) {
                    if let Some(link) = lead.fleet.link_mut(name) {
                        link.renewal_sent_ms = None;
                        link.renew_ms = now_ms;
                    }
                }
            }
            Change::Lapse { worker } => {
                lead.ending.remove(worker);
                if let Some(link) = lead.fleet.link_mut(worker) {
                    let jobs = link.runs.keys().map(|(task, _)| task.job);
                    jobs.for_each(|job| lead.scheduler.touch(job));
                    link.runs.clear();
                }
            }
            Change::Gone { worker } => {
                lead.ending.remove(worker);
                if let Some(link) = lead.fleet.link(worker) {
                    let jobs = link.runs.keys().map(|(task, _)| task.job);
                    jobs.for_each(|job| lead.scheduler.touch(job));
                }
                lead.fleet.remove_link(worker);
                lead.reports.forget(worker);
                lead.throttles.remove(worker);
            }
            Change::Due { job, occurrence } => {
                lead.due.remove(&(*job, *occurrence));
            }
            Change::UpkeepBegun { machine, .. } => {
                let gone = lead.machines.is_removed(machine);
                lead.upkeep.record_begun(now_ms, machine, gone);
            }
            Change::Configure(_) => self.configured(),
            Change::ConfigurePart(part) if part.is_last() => self.configured(),
            Change::Accept { job, .. } => {
                if let Some(job) = self.state.job(*job)
                    && counts_as_size(job)
                {
                    lead.scheduler.record_arrival(job, estimates);
                }
            }
            Change::ConfigurePart(_)
            | Change::Cancel { .. }
            | Change::Place { .. }
            | Change::Leave { .. }
            | Change::Wave(_)
            | Change::UpkeepAsked { .. }
            | Change::Forget { .. } => {}
        }
    }

    /// Another configuration may be in force: jobs may have other pools and ranks.
    fn configured(&mut self) {
        if let Some(lead) = &mut self.lead {
            for job in self.state.active() {
                lead.scheduler.touch(job.id);
            }
        }
        if let Some(c) = self.state.configuration() {
            tracing::info!(
                version = c.version,
                queues = c.queues.len(),
                "configuration: in force"
            );
        }
    }

    fn waited(&mut self, now_ms: u64, waiter: Waiter) {
        match waiter {
            Waiter::Call(caller) => self.answer(&caller, Answer::Done),
            Waiter::Accept { caller, job } => {
                let known = self.state.job(job);
                if let Some(known) = known {
                    tracing::info!(%job, queue = known.queue, pool = %known.pool, "job: accepted");
                }
                let answer = known.map_or(Answer::Unknown, |_| Answer::Done);
                self.answer(&caller, answer);
            }
            Waiter::Place(start) => self.start(now_ms, &start),
            Waiter::Upkeep {
                wave,
                machine,
                worker,
            } => self.begin_upkeep(wave, machine, worker),
            Waiter::Ended { worker, number } => {
                if let Some(lead) = &mut self.lead
                    && let Some(link) = lead.fleet.link_mut(&worker)
                {
                    link.acknowledged = link.acknowledged.max(number);
                    link.renew_ms = link.renew_ms.min(now_ms);
                }
            }
        }
    }
}
