//! Creation of the occurrences of recurring jobs.
//!
//! A job may have thousands of occurrences whose time has come: they are due faster than they
//! end, or the first was due long ago. Each open one takes memory for every task of it. One
//! occurrence of a job is paid for when the job is accepted. A further one is created if it fits
//! beside the others of its job and into the memory for jobs; otherwise it waits until earlier
//! ones have ended. What waits costs nothing but its number.

use super::Node;
use crate::control::{Change, Decision, Effect, JobMemory};
use crate::jobs::{Job, JobId, MAX_TASKS};

/// Part of the memory for jobs that is left to jobs that are accepted: a half.
const ACCEPTED_PART: usize = 2;

/// Why an occurrence that is due is not created.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldBack {
    /// The open occurrences of the job have as many tasks as one job may have.
    OpenTasks,
    /// The memory for jobs is used up.
    Memory,
}

impl Node {
    /// Proposes the creation of occurrences that are due and find room.
    pub(super) fn create_due_occurrences(&mut self, now_ms: u64) {
        let unix_ms = self.clock.unix_ms(now_ms);
        let Some(lead) = &mut self.leader_state else {
            return;
        };
        let limit_bytes = self.job_limit_bytes / ACCEPTED_PART;
        let proposed_jobs = lead.proposed_jobs.values().map(|job| job.memory_bytes);
        let proposed = lead.proposed_occurrences.iter();
        let proposed = proposed.filter_map(|(id, _)| self.state.job(*id));
        let proposed_occurrences = proposed.map(JobMemory::of_next_occurrence).sum::<usize>();
        let mut held_bytes =
            self.state.job_memory().bytes() + proposed_jobs.sum::<usize>() + proposed_occurrences;
        let mut newly_held = Vec::new();
        for job in lead.recurring.iter().filter_map(|id| self.state.job(*id)) {
            let Some((occurrence, due_unix_ms)) = job.next_due() else {
                continue;
            };
            let key = (job.id, occurrence);
            if unix_ms < due_unix_ms {
                lead.held_back.remove(&job.id);
                continue;
            }
            if lead.proposed_occurrences.contains(&key) {
                continue;
            }
            let needed_bytes = JobMemory::of_next_occurrence(job);
            if let Some(why) = hold_back(job, needed_bytes, held_bytes, limit_bytes) {
                if lead.held_back.insert(job.id) {
                    newly_held.push((job.id, occurrence, why));
                }
                continue;
            }
            lead.proposed_occurrences.insert(key);
            held_bytes += needed_bytes;
            let job = job.id;
            lead.pending.add(Change::Due { job, occurrence }, None);
        }
        for (job, occurrence, why) in newly_held {
            self.log_held_back(job, occurrence, why, held_bytes, limit_bytes);
        }
    }

    fn log_held_back(
        &mut self,
        job: JobId,
        occurrence: u32,
        why: HeldBack,
        held_bytes: usize,
        limit_bytes: usize,
    ) {
        tracing::info!(
            %job, occurrence, ?why, held_bytes, limit_bytes,
            "job: a due occurrence waits until earlier ones have ended"
        );
        self.out.push(Effect::Count(Decision::OccurrenceHeldBack));
    }
}

/// Returns why the next occurrence of a job has to wait, `None` if it can be created.
fn hold_back(
    job: &Job,
    needed_bytes: usize,
    held_bytes: usize,
    limit_bytes: usize,
) -> Option<HeldBack> {
    if needed_bytes == 0 {
        return None;
    }
    let open_tasks = job.spec.tasks().saturating_mul(job.open_occurrences() + 1);
    if open_tasks > MAX_TASKS {
        return Some(HeldBack::OpenTasks);
    }
    (held_bytes + needed_bytes > limit_bytes).then_some(HeldBack::Memory)
}
