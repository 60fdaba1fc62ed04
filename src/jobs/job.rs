use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{JobId, JobSpec, JobState, Occurrence, Run, RunResult, Task, TaskId};
use crate::model::{InstanceName, PoolName, WorkspaceName};

/// An accepted job and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// The name of the queue that accepted it.
    pub queue: String,
    /// The pool that runs it.
    pub pool: PoolName,
    /// The workspace that submitted it; `None` if its queue is open to anyone. The
    /// replicated state stores it beside the jobs.
    #[serde(skip)]
    pub workspace: Option<WorkspaceName>,
    /// The job as its caller submitted it.
    pub spec: Arc<JobSpec>,
    /// When it was accepted, in milliseconds of Unix time.
    pub accepted_unix_ms: u64,
    /// The number of failures of one task after which the job fails; lasting tasks
    /// may fail any number of times.
    pub attempts_max: u32,
    /// The final state, after which no task starts; none while the job is active.
    pub verdict: Option<JobState>,
    /// When it reached its final state, in milliseconds of Unix time.
    pub ended_unix_ms: Option<u64>,
    /// When the first of its runs that are known to have started was placed, in milliseconds
    /// of Unix time. A placement alone starts nothing: its worker may reject it.
    pub started_unix_ms: Option<u64>,
    /// The number of times that a task of it was placed.
    pub placements: u32,
    /// The occurrences that are due and not removed as done.
    occurrences: BTreeMap<u32, Occurrence>,
    /// All occurrences below this one are done and removed.
    done_below: u32,
}

impl Job {
    /// Returns a job of which no task has started.
    pub fn new(
        id: JobId,
        queue: String,
        pool: PoolName,
        spec: Arc<JobSpec>,
        attempts_max: u32,
        accepted_unix_ms: u64,
    ) -> Self {
        Self {
            id,
            queue,
            pool,
            workspace: None,
            spec,
            accepted_unix_ms,
            attempts_max,
            verdict: None,
            ended_unix_ms: None,
            started_unix_ms: None,
            placements: 0,
            occurrences: BTreeMap::new(),
            done_below: 0,
        }
    }

    /// The state that its caller sees.
    pub fn state(&self) -> JobState {
        match self.verdict {
            Some(verdict) => verdict,
            None if self.started_unix_ms.is_some() => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Creates an occurrence that has come due, unless it exists or is done.
    pub fn create_occurrence(&mut self, occurrence: u32) {
        if occurrence >= self.done_below && occurrence < self.spec.occurrences() {
            let spec = &self.spec;
            self.occurrences
                .entry(occurrence)
                .or_insert_with(|| Occurrence::new(spec));
        }
    }

    /// The next occurrence that is not created yet, with its due time in
    /// milliseconds of Unix time; none if there is no other or the job is final.
    pub fn next_due(&self) -> Option<(u32, u64)> {
        let last = self.occurrences.keys().next_back();
        let next = last.map_or(self.done_below, |number| number + 1);
        if self.verdict.is_some() || next >= self.spec.occurrences() {
            return None;
        }
        let due_unix_ms = self.spec.recurrence.map_or(0, |r| r.due_unix_ms(next));
        Some((next, due_unix_ms))
    }

    /// When an occurrence is due, in milliseconds of Unix time.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let recurrence = self.spec.recurrence;
        recurrence.map_or(self.accepted_unix_ms, |r| r.due_unix_ms(occurrence))
    }

    /// The occurrences that are due and not removed as done, with their numbers.
    pub fn occurrences(&self) -> impl Iterator<Item = (u32, &Occurrence)> {
        self.occurrences.iter().map(|(number, o)| (*number, o))
    }

    /// The number of occurrences that are due and not removed as done.
    pub fn open_occurrences(&self) -> usize {
        self.occurrences.len()
    }

    /// Returns an occurrence, if it is due and not removed as done.
    pub fn occurrence(&self, occurrence: u32) -> Option<&Occurrence> {
        self.occurrences.get(&occurrence)
    }

    /// Returns a task, if its occurrence is due and not removed as done.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.occurrence(id.occurrence)?.task(id.step, id.index)
    }

    /// Every run that may be in progress.
    pub fn runs(&self) -> impl Iterator<Item = (TaskId, &Run)> {
        self.occurrences().flat_map(move |(occurrence, o)| {
            o.tasks().flat_map(move |(step, index, task)| {
                let id = TaskId {
                    job: self.id,
                    occurrence,
                    step,
                    index,
                };
                task.runs.iter().map(move |run| (id, run))
            })
        })
    }

    /// Records that an attempt at a task is placed on a worker. Returns `false` if
    /// the task must not start: the job is final, the task is done, the attempt
    /// is outdated, or the task is running and may not have copies.
    pub fn place(
        &mut self,
        now_unix_ms: u64,
        id: TaskId,
        attempt: u32,
        worker: &InstanceName,
    ) -> bool {
        if self.verdict.is_some() {
            return false;
        }
        let copies = self
            .spec
            .steps
            .get(usize::from(id.step))
            .is_some_and(|s| s.copies);
        let Some(task) = self.task_mut(id) else {
            return false;
        };
        if task.done || attempt <= task.attempt || !(copies || task.runs.is_empty()) {
            return false;
        }
        task.attempt = attempt;
        task.runs.push(Run {
            attempt,
            worker: worker.clone(),
            placed_unix_ms: now_unix_ms,
        });
        self.placements += 1;
        true
    }

    /// Removes a run whose order to start had no effect and never will. Returns
    /// `false` if the run is not recorded.
    pub fn cancel_placement(&mut self, id: TaskId, attempt: u32, worker: &InstanceName) -> bool {
        self.task_mut(id)
            .is_some_and(|task| task.remove_run(attempt, worker).is_some())
    }

    /// Records that a run has started. Returns `false` if the run is not recorded.
    pub fn record_start(&mut self, id: TaskId, attempt: u32, worker: &InstanceName) -> bool {
        let task = self.task(id);
        let run = task.and_then(|task| task.runs.iter().find(|run| run.is(attempt, worker)));
        let placed_unix_ms = run.map(|run| run.placed_unix_ms);
        if let Some(placed_unix_ms) = placed_unix_ms {
            self.set_started(placed_unix_ms);
        }
        placed_unix_ms.is_some()
    }

    fn set_started(&mut self, placed_unix_ms: u64) {
        let started_unix_ms = self.started_unix_ms.get_or_insert(placed_unix_ms);
        *started_unix_ms = placed_unix_ms.min(*started_unix_ms);
    }

    /// Records the end of a run. Returns `false` if the run is not recorded.
    pub fn end(
        &mut self,
        id: TaskId,
        attempt: u32,
        worker: &InstanceName,
        ending: RunResult,
        checkpoint: &str,
    ) -> bool {
        let gang = self
            .spec
            .steps
            .get(usize::from(id.step))
            .is_some_and(|s| s.gang);
        let lasting = self
            .spec
            .steps
            .get(usize::from(id.step))
            .is_some_and(|s| s.lasting);
        let attempts_max = self.attempts_max;
        let Some(task) = self.task_mut(id) else {
            return false;
        };
        let Some(run) = task.remove_run(attempt, worker) else {
            return false;
        };
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint.to_owned();
        }
        match ending {
            RunResult::Done if !lasting => task.done = true,
            RunResult::Failed => {
                task.failures += 1;
                task.failed_on = Some(worker.clone());
                if task.failures >= attempts_max && !lasting && !task.done {
                    self.verdict = self.verdict.or(Some(JobState::Failed));
                }
            }
            _ => {}
        }
        self.set_started(run.placed_unix_ms);
        if gang {
            self.apply_to_gang(id, ending, checkpoint);
        }
        true
    }

    /// Applies the end of one task to its whole gang, whose tasks end and resume
    /// together.
    fn apply_to_gang(&mut self, id: TaskId, ending: RunResult, checkpoint: &str) {
        let count = self.spec.steps[usize::from(id.step)].tasks;
        for index in 0..count {
            let Some(task) = self.task_mut(TaskId { index, ..id }) else {
                continue;
            };
            if ending == RunResult::Done {
                task.done = true;
            }
            if !checkpoint.is_empty() {
                task.checkpoint = checkpoint.to_owned();
            }
        }
    }

    /// Removes the occurrences that are done, and completes the job if all are.
    pub fn settle(&mut self, now_unix_ms: u64) {
        while let Some(first) = self.occurrences.first_entry() {
            let no_runs = first.get().tasks().all(|(_, _, t)| t.runs.is_empty());
            if !first.get().is_done() || !no_runs || *first.key() != self.done_below {
                break;
            }
            first.remove();
            self.done_below += 1;
        }
        let all_done = self.occurrences.values().all(Occurrence::is_done);
        let created = self.done_below + self.occurrences.len() as u32;
        if self.verdict.is_none() && all_done && created >= self.spec.occurrences() {
            self.verdict = Some(JobState::Completed);
        }
        if self.verdict.is_some() {
            self.ended_unix_ms.get_or_insert(now_unix_ms);
        }
    }

    /// Whether no run of it may be in progress.
    pub fn has_no_runs(&self) -> bool {
        self.runs().next().is_none()
    }

    /// Removes all runs on a worker whose end is proved, and returns their number.
    pub fn lapse(&mut self, worker: &InstanceName) -> usize {
        let mut removed = 0;
        for occurrence in self.occurrences.values_mut() {
            removed += occurrence.lapse(worker);
        }
        removed
    }

    fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.occurrences
            .get_mut(&id.occurrence)?
            .task_mut(id.step, id.index)
    }
}
