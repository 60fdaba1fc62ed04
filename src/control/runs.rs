use std::collections::BTreeMap;

use derive_more::Deref;

use super::RunView;
use crate::jobs::{Room, Step, TaskId};

/// The runs that the replicated state has on a worker, with their sums.
///
/// The sums are kept as runs come and go: a pass that adds up every run of hundreds of
/// workers costs more than all that it decides.
#[derive(Debug, Default, Deref)]
pub struct Runs {
    #[deref]
    views: BTreeMap<(TaskId, u32), RunView>,
    used: RunLoad,
}

/// What one or several runs take of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunLoad {
    /// The room that is reserved.
    pub reserved: Room,
    /// What of that is not for lasting tasks.
    pub passing: Room,
    /// Runs of lasting tasks.
    pub lasting: u32,
    /// Runs that only get what others leave.
    pub best_effort: u32,
    /// Runs with users of their own.
    pub serving: u32,
    /// What runs of small and of large jobs ask for, in thousandths of a core.
    pub cpu_milli: [u64; 2],
}

impl RunLoad {
    /// What a run of a task of this step takes.
    pub fn of(step: &Step, large: bool) -> Self {
        let mut cpu_milli = [0; 2];
        cpu_milli[usize::from(large)] = u64::from(step.demand.cpu_milli);
        Self {
            reserved: step.reserved(),
            passing: match step.lasting {
                true => Room::default(),
                false => step.reserved(),
            },
            lasting: u32::from(step.lasting),
            best_effort: u32::from(step.best_effort),
            serving: u32::from(step.tail_target_ms.is_some() && !step.best_effort),
            cpu_milli,
        }
    }

    /// What lasting tasks hold.
    pub fn lasting_room(&self) -> Room {
        self.reserved.less(&self.passing)
    }

    /// Both together.
    pub fn plus(&self, other: &Self) -> Self {
        self.with(other, u32::saturating_add, u64::saturating_add)
    }

    /// What is left without the other.
    pub fn less(&self, other: &Self) -> Self {
        self.with(other, u32::saturating_sub, u64::saturating_sub)
    }

    fn with(&self, other: &Self, by: fn(u32, u32) -> u32, wide: fn(u64, u64) -> u64) -> Self {
        let room = |own: &Room, other: &Room| Room {
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
    /// A run that is to begin, or that an earlier leader began.
    pub fn insert(&mut self, key: (TaskId, u32), view: RunView) {
        self.remove(&key);
        self.used = self.used.plus(&view.load);
        self.views.insert(key, view);
    }

    /// A run that is over.
    pub fn remove(&mut self, key: &(TaskId, u32)) {
        if let Some(view) = self.views.remove(key) {
            self.used = self.used.less(&view.load);
        }
    }

    /// All runs are over.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// What is known of a run, to change.
    pub fn get_mut(&mut self, key: &(TaskId, u32)) -> Option<&mut RunView> {
        self.views.get_mut(key)
    }

    /// All of them, to change.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&(TaskId, u32), &mut RunView)> {
        self.views.iter_mut()
    }

    /// What all of them take.
    pub fn used(&self) -> &RunLoad {
        &self.used
    }
}
