use serde::{Deserialize, Serialize};

use super::{JobSpec, Run, Task};
use crate::model::InstanceName;

/// One occurrence of a job: the progress of its tasks, by step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    steps: Vec<Vec<Task>>,
}

impl Occurrence {
    /// Returns an occurrence of which no task has started.
    pub fn new(spec: &JobSpec) -> Self {
        let tasks = |tasks: u16| vec![Task::default(); usize::from(tasks)];
        Self {
            steps: spec.steps.iter().map(|s| tasks(s.tasks)).collect(),
        }
    }

    /// The tasks of a step; empty if there is no such step.
    pub fn step(&self, step: usize) -> &[Task] {
        self.steps.get(step).map_or(&[], Vec::as_slice)
    }

    /// The runs of a step, each with the index of its task.
    pub fn runs(&self, step: usize) -> impl Iterator<Item = (u16, &Run)> {
        let tasks = self.step(step).iter().enumerate();
        tasks.flat_map(|(index, task)| task.runs.iter().map(move |run| (index as u16, run)))
    }

    /// Returns a task, if it exists.
    pub fn task(&self, step: u16, index: u16) -> Option<&Task> {
        self.step(usize::from(step)).get(usize::from(index))
    }

    /// Returns a task for changes, if it exists.
    pub fn task_mut(&mut self, step: u16, index: u16) -> Option<&mut Task> {
        let step = self.steps.get_mut(usize::from(step))?;
        step.get_mut(usize::from(index))
    }

    /// All tasks, each with its step and its index there.
    pub fn tasks(&self) -> impl Iterator<Item = (u16, u16, &Task)> {
        self.steps.iter().enumerate().flat_map(|(step, tasks)| {
            let tasks = tasks.iter().enumerate();
            tasks.map(move |(index, task)| (step as u16, index as u16, task))
        })
    }

    /// Whether all tasks of a step are done.
    pub fn step_done(&self, step: usize) -> bool {
        self.step(step).iter().all(|t| t.done)
    }

    /// Whether all steps that this step depends on are done.
    pub fn may_start(&self, spec: &JobSpec, step: usize) -> bool {
        let after = &spec.steps[step].after;
        after
            .iter()
            .all(|dependency| self.step_done(usize::from(*dependency)))
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.step_done(step))
    }

    /// Removes the runs on a worker and returns their number.
    pub fn lapse(&mut self, worker: &InstanceName) -> usize {
        let mut removed = 0;
        for task in self.steps.iter_mut().flatten() {
            let count_before = task.runs.len();
            task.runs.retain(|run| run.worker != *worker);
            removed += count_before - task.runs.len();
        }
        removed
    }
}
