use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{RuleBreak, TaskTruth};
use crate::jobs::{JobId, JobSpec, RunResult, TaskId};

/// What truly became of every task, and the check of what is promised at each start.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    jobs: BTreeMap<JobId, LedgerJob>,
    /// Jobs of which nothing is left to run, or a task failed: their leader may say that
    /// they are over.
    settled: BTreeSet<JobId>,
    counts: Counts,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Runs that began.
    pub starts: u64,
    /// Runs that did their work.
    pub done: u64,
    /// Runs that ended neither by doing their work nor by their own fault.
    pub thrown_away: u64,
    /// Machines that moved to another pool.
    pub moves: u64,
}

/// A run that begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskRun {
    /// How long it takes.
    pub takes_ms: u64,
    /// How long it takes for a percent.
    pub percent_ms: u64,
    /// How it ends.
    pub ending: RunResult,
}

#[derive(Clone, Debug)]
struct LedgerJob {
    spec: Arc<JobSpec>,
    tasks: Vec<Vec<LedgerTask>>,
    /// Tasks of each step that are not done.
    left: Vec<usize>,
    first_start_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct LedgerTask {
    truth: TaskTruth,
    running: bool,
    done: Done,
    failures: u32,
}

/// Whether a task is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Done {
    No,
    Yes,
    /// Its worker was lost before its end was acknowledged: the leader may not know of
    /// it, and start the task again.
    Unsure,
}

impl Ledger {
    /// A caller hands in a job, with the truth of each task by step.
    pub fn hand_in(&mut self, job: JobId, spec: Arc<JobSpec>, truths: Vec<Vec<TaskTruth>>) {
        let left = truths.iter().map(Vec::len).collect();
        let of_step = |truths: Vec<TaskTruth>| truths.into_iter().map(LedgerTask::new).collect();
        let job_of = LedgerJob {
            spec,
            tasks: truths.into_iter().map(of_step).collect(),
            left,
            first_start_ms: None,
        };
        self.jobs.insert(job, job_of);
    }

    /// The job as it was handed in.
    pub fn spec(&self, job: JobId) -> Option<&Arc<JobSpec>> {
        self.jobs.get(&job).map(|job| &job.spec)
    }

    /// A run begins.
    ///
    /// # Errors
    /// The promise that this breaks.
    pub fn start(&mut self, now_ms: u64, task: TaskId) -> Result<TaskRun, RuleBreak> {
        let unknown = RuleBreak::Unknown { task };
        let job = self.jobs.get_mut(&task.job).ok_or(unknown)?;
        let step = usize::from(task.step);
        let spec = job.spec.steps.get(step).ok_or(unknown)?;
        let missing = |before: &&u16| job.left[usize::from(**before)] > 0;
        if let Some(before) = spec.after.iter().find(missing) {
            let before = *before;
            return Err(RuleBreak::Order {
                task,
                before,
                now_ms,
            });
        }
        let index = usize::from(task.index);
        let own = job.tasks[step].get_mut(index).ok_or(unknown)?;
        if own.running {
            return Err(RuleBreak::Twice { task, now_ms });
        }
        match own.done {
            Done::No => {}
            Done::Yes => return Err(RuleBreak::AfterDone { task, now_ms }),
            Done::Unsure => {
                own.done = Done::No;
                job.left[step] += 1;
                self.settled.remove(&task.job);
            }
        }
        own.running = true;
        job.first_start_ms.get_or_insert(now_ms);
        self.counts.starts += 1;
        let (ending, takes_ms) = own.truth.next_run(own.failures);
        Ok(TaskRun {
            takes_ms,
            percent_ms: own.truth.percent_ms,
            ending,
        })
    }

    /// A run ends.
    pub fn end(&mut self, task: TaskId, ending: RunResult) {
        let step = usize::from(task.step);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let own = &mut job.tasks[step][usize::from(task.index)];
        own.running = false;
        match ending {
            RunResult::Done => {
                own.done = Done::Yes;
                job.left[step] -= 1;
                let all = job.left.iter().all(|left| *left == 0);
                self.counts.done += 1;
                if all {
                    self.settled.insert(task.job);
                }
            }
            RunResult::Failed => {
                own.failures += 1;
                self.settled.insert(task.job);
            }
            RunResult::Stopped | RunResult::Lapsed | RunResult::Broken | RunResult::Alone => {
                self.counts.thrown_away += 1;
            }
        }
    }

    /// The worker of a task that is done was lost before the end was acknowledged.
    pub fn doubt(&mut self, task: TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let own = &mut job.tasks[usize::from(task.step)][usize::from(task.index)];
        if own.done == Done::Yes {
            own.done = Done::Unsure;
        }
    }

    /// A machine moves to another pool.
    pub fn moved(&mut self) {
        self.counts.moves += 1;
    }

    /// When the first task of a job started.
    pub fn first_start_ms(&self, job: JobId) -> Option<u64> {
        self.jobs.get(&job)?.first_start_ms
    }

    /// Jobs that may be over.
    pub fn settled(&self) -> impl Iterator<Item = JobId> {
        self.settled.iter().copied()
    }

    /// It is known what became of a job, or that it goes on.
    pub fn unsettle(&mut self, job: JobId) {
        self.settled.remove(&job);
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Counts from here on.
    pub fn forget_counts(&mut self) {
        self.counts = Counts::default();
    }
}

impl LedgerTask {
    fn new(truth: TaskTruth) -> Self {
        Self {
            truth,
            running: false,
            done: Done::No,
            failures: 0,
        }
    }
}
