use serde::{Deserialize, Serialize};

use super::{JobSpec, Task};
use crate::model::InstanceName;

/// One occurrence of a job: its tasks, step by step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    steps: Vec<Vec<Task>>,
}

impl Occurrence {
    /// Nothing of it has started.
    pub fn new(spec: &JobSpec) -> Self {
        let tasks = |tasks: u16| vec![Task::default(); usize::from(tasks)];
        Self {
            steps: spec.steps.iter().map(|s| tasks(s.tasks)).collect(),
        }
    }

    /// The tasks of a step.
    pub fn step(&self, step: usize) -> &[Task] {
        self.steps.get(step).map_or(&[], Vec::as_slice)
    }

    /// A task, if there is one.
    pub fn task(&self, step: u16, index: u16) -> Option<&Task> {
        self.step(usize::from(step)).get(usize::from(index))
    }

    /// A task to change, if there is one.
    pub fn task_mut(&mut self, step: u16, index: u16) -> Option<&mut Task> {
        let step = self.steps.get_mut(usize::from(step))?;
        step.get_mut(usize::from(index))
    }

    /// All tasks with their steps and places.
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

    /// Whether all steps that this one depends on are done.
    pub fn may_start(&self, spec: &JobSpec, step: usize) -> bool {
        let after = &spec.steps[step].after;
        after.iter().all(|on| self.step_done(usize::from(*on)))
    }

    /// Whether everything is done.
    pub fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.step_done(step))
    }

    /// Frees the runs on a worker; returns how many there were.
    pub fn lapse(&mut self, worker: &InstanceName) -> usize {
        let mut freed = 0;
        for task in self.steps.iter_mut().flatten() {
            let before = task.runs.len();
            task.runs.retain(|run| run.worker != *worker);
            freed += before - task.runs.len();
        }
        freed
    }
}
