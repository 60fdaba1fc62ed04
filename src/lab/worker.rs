use std::collections::BTreeMap;

use super::RunningTask;
use crate::control::{Ended, OrderOutcome, Running};
use crate::jobs::{Resources, RunResult, TaskId};
use crate::model::InstanceName;

/// An incarnation of a worker: what runs, and ends that stay listed until acknowledged.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    /// Its name.
    pub name: InstanceName,
    /// What runs, by task and number of the start.
    pub running: BTreeMap<(TaskId, u32), RunningTask>,
    /// Ends that are not acknowledged.
    pub ended: Vec<Ended>,
    /// The renewal that waits for an end, and when its sender gives it up.
    pub waiting: Option<(u64, u64)>,
    next_end: u64,
}

impl FakeWorker {
    /// One that has just begun.
    pub fn new(name: InstanceName) -> Self {
        Self {
            name,
            running: BTreeMap::new(),
            ended: Vec::new(),
            waiting: None,
            next_end: 0,
        }
    }

    /// What all runs take together.
    pub fn used(&self) -> Resources {
        let runs = self.running.values();
        runs.fold(Resources::default(), |used, run| {
            used.saturating_add(&run.demand)
        })
    }

    /// Ends a run; `false` if there is none.
    pub fn end(&mut self, task: TaskId, attempt: u32, ending: RunResult) -> bool {
        if self.running.remove(&(task, attempt)).is_none() {
            return false;
        }
        self.next_end += 1;
        self.ended.push(Ended {
            number: self.next_end,
            task,
            attempt,
            ending,
            checkpoint: String::new(),
        });
        true
    }

    /// The answer to a renewal.
    pub fn list(&self, now_ms: u64) -> OrderOutcome {
        let running = self.running.iter().map(|((task, attempt), run)| Running {
            task: *task,
            attempt: *attempt,
            checkpoint: String::new(),
            percent: run.percent(now_ms),
            gauge: None,
        });
        OrderOutcome::Listed {
            clock_ms: now_ms,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}
