use std::collections::BTreeMap;

use derive_more::Deref;

use crate::control::RunView;
use crate::jobs::{Resources, Step, TaskId};

/// The runs that the replicated state has on a worker, with the sum of their loads.
///
/// The sum is updated as runs are added and removed: adding up every run of hundreds of
/// workers would cost a scheduling pass more than all its decisions.
#[derive(Debug, Default, Deref)]
pub struct Runs {
    #[deref]
    views: BTreeMap<(TaskId, u32), RunView>,
    used: RunLoad,
}

/// Load of one or several runs on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunLoad {
    /// Room that is reserved.
    pub reserved: Resources,
    /// The part of `reserved` that tasks hold which are not lasting.
    pub passing: Resources,
    /// Number of runs of lasting tasks.
    pub lasting: u32,
    /// Number of best-effort runs, which only get what others leave.
    pub best_effort: u32,
    /// Number of runs that serve users and have a latency target.
    pub serving: u32,
    /// Processor demand of runs of small and of large jobs, in thousandths of a core.
    pub cpu_milli: [u64; 2],
}

impl RunLoad {
    /// Returns the load of a run of this step; `large` says whether its job is large.
    pub fn of(step: &Step, large: bool) -> Self {
        let mut cpu_milli = [0; 2];
        cpu_milli[usize::from(large)] = u64::from(step.demand.cpu_milli);
        Self {
            reserved: step.reserved(),
            passing: match step.lasting {
                true => Resources::default(),
                false => step.reserved(),
            },
            lasting: u32::from(step.lasting),
            best_effort: u32::from(step.best_effort),
            serving: u32::from(step.tail_target_ms.is_some() && !step.best_effort),
            cpu_milli,
        }
    }

    /// Returns the room that lasting tasks hold.
    pub fn lasting_room(&self) -> Resources {
        self.reserved.saturating_sub(&self.passing)
    }

    /// Returns the sum of both loads.
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, u32::saturating_add, u64::saturating_add)
    }

    /// Returns the load without `other`.
    pub fn less(&self, other: &Self) -> Self {
        self.combine(other, u32::saturating_sub, u64::saturating_sub)
    }

    fn combine(&self, other: &Self, by: fn(u32, u32) -> u32, wide: fn(u64, u64) -> u64) -> Self {
        let room = |own: &Resources, other: &Resources| Resources {
            cpu_milli: by(own.cpu_milli, other.cpu_milli),
            memory_mb: by(own.memory_mb, other.memory_mb),
            accelerators: by(own.accelerators, other.accelerators),
        };
        Self {
            reserved: room(&self.reserved, &other.reserved),
            passing: room(&self.passing, &other.passing),
            lasting: by(self.lasting, other.lasting),
            best_effort: by(self.best_effort, other.best_effort),
            serving: by(self.serving, other.serving),
            cpu_milli: [0, 1].map(|g: usize| wide(self.cpu_milli[g], other.cpu_milli[g])),
        }
    }
}

impl Runs {
    /// Adds a run that is to be started, or that an earlier leader started.
    pub fn insert(&mut self, key: (TaskId, u32), view: RunView) {
        self.remove(&key);
        self.used = self.used.plus(&view.load);
        self.views.insert(key, view);
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, key: &(TaskId, u32)) {
        if let Some(view) = self.views.remove(key) {
            self.used = self.used.less(&view.load);
        }
    }

    /// Removes all runs.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the leader's view of a run.
    pub fn get_mut(&mut self, key: &(TaskId, u32)) -> Option<&mut RunView> {
        self.views.get_mut(key)
    }

    /// Iterates over the leader's views of all runs.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&(TaskId, u32), &mut RunView)> {
        self.views.iter_mut()
    }

    /// Returns the load of all runs together.
    pub fn used(&self) -> &RunLoad {
        &self.used
    }
}
