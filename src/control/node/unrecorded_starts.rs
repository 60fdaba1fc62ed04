use std::collections::BTreeMap;

use crate::control::{Placement, State};
use crate::jobs::{Job, JobId, JobState};

/// Time after which the start of a job is recorded by a change of its own. Most runs end sooner,
/// and their ends record it.
const RECORD_DELAY_MS: u64 = 1_000;

/// Jobs that have started, as a worker has confirmed, while the replicated state has not
/// recorded it.
#[derive(Debug, Default)]
pub(super) struct UnrecordedStarts {
    by_job: BTreeMap<JobId, UnrecordedStart>,
}

/// A start that the replicated state has not recorded.
#[derive(Debug)]
struct UnrecordedStart {
    /// The last run of the job that was confirmed.
    run: Placement,
    /// When to propose a change that records it.
    record_ms: u64,
}

impl UnrecordedStarts {
    /// Notes that a worker has confirmed a run.
    pub(super) fn note(&mut self, now_ms: u64, state: &State, run: &Placement) {
        let job = state.job(run.task.job);
        if job.is_none_or(|job| job.state() != JobState::Queued) {
            return;
        }
        let noted = self.by_job.get(&run.task.job);
        let start = UnrecordedStart {
            run: run.clone(),
            record_ms: noted.map_or(now_ms + RECORD_DELAY_MS, |start| start.record_ms),
        };
        self.by_job.insert(run.task.job, start);
    }

    /// Forgets a job that has changed, if the state has recorded its start or its end.
    pub(super) fn update(&mut self, state: &State, job: JobId) {
        if !self.by_job.is_empty()
            && state
                .job(job)
                .is_none_or(|job| job.state() != JobState::Queued)
        {
            self.by_job.remove(&job);
        }
    }

    /// Takes the runs whose starts are to be recorded now, of those that the state still has.
    /// All are due again later: another run of the job may be confirmed meanwhile.
    pub(super) fn take_due(&mut self, now_ms: u64, state: &State) -> Vec<Placement> {
        let due = self
            .by_job
            .values_mut()
            .filter(|start| start.record_ms <= now_ms);
        let due = due.map(|start| {
            start.record_ms = now_ms + RECORD_DELAY_MS;
            &start.run
        });
        due.filter(|run| state.has_run(run.task, run.attempt, &run.worker))
            .cloned()
            .collect()
    }

    /// Returns the state of a job that its caller sees.
    pub(super) fn state_of(&self, job: &Job) -> JobState {
        match job.state() {
            JobState::Queued if self.by_job.contains_key(&job.id) => JobState::Running,
            state => state,
        }
    }
}
