use serde::{Deserialize, Serialize};

use super::{Recurrence, SpecFault, Step};

/// The largest payload, in bytes, as promised to callers.
pub const PAYLOAD_LIMIT_BYTES: usize = 4000;

/// Largest job description, in bytes as it is stored: half of what one command of the
/// log holds, so that no job is accepted that the log drops.
const MAX_SPEC_BYTES: usize = 256 << 10;

/// Largest number of tasks of the occurrences of a job that are open at once, and so of one
/// occurrence. One command of the log has to hold the tasks of an occurrence.
pub const MAX_TASKS: usize = 10_000;

/// A job as its caller submits it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Passed unchanged to each task.
    pub payload: String,
    /// The steps; each one follows those that it depends on.
    pub steps: Vec<Step>,
    /// When it recurs; none for a job that runs once, at once.
    pub recurrence: Option<Recurrence>,
}

impl JobSpec {
    /// Checks the sizes, the number of tasks and the dependencies.
    ///
    /// # Errors
    /// The first fault found.
    pub fn check(&self) -> Result<(), SpecFault> {
        if self.payload.len() > PAYLOAD_LIMIT_BYTES {
            return Err(SpecFault::LargePayload {
                size_bytes: self.payload.len(),
                limit_bytes: PAYLOAD_LIMIT_BYTES,
            });
        }
        if self.steps.is_empty() {
            return Err(SpecFault::NoStep);
        }
        let size_bytes = self.size_bytes();
        if size_bytes > MAX_SPEC_BYTES {
            return Err(SpecFault::Large {
                size_bytes,
                limit_bytes: MAX_SPEC_BYTES,
            });
        }
        let tasks = self
            .tasks()
            .saturating_mul(self.reserved_occurrences().max(1));
        if tasks > MAX_TASKS {
            return Err(SpecFault::ManyTasks {
                tasks,
                limit: MAX_TASKS,
            });
        }
        for (step, spec) in self.steps.iter().enumerate() {
            if spec.tasks == 0 {
                return Err(SpecFault::NoTask { step });
            }
            if let Some(on) = spec.after.iter().find(|on| usize::from(**on) >= step) {
                return Err(SpecFault::WrongOrder { step, on: *on });
            }
        }
        Ok(())
    }

    /// Its size as it is stored, in bytes.
    pub fn size_bytes(&self) -> usize {
        crate::codec::encode(self).len()
    }

    /// Its size in memory, in bytes, without what the allocator adds.
    pub fn memory_bytes(&self) -> usize {
        let steps = self.steps.iter().map(Step::memory_bytes);
        size_of::<Self>() + self.payload.len() + steps.sum::<usize>()
    }

    /// The number of tasks of one occurrence.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|s| usize::from(s.tasks)).sum()
    }

    /// The number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.recurrence.map_or(1, |r| r.times)
    }

    /// The number of occurrences that are open at once in any case: all of a job with lasting
    /// tasks, which never end, otherwise one.
    pub fn reserved_occurrences(&self) -> usize {
        match self.lasts() {
            true => self.occurrences() as usize,
            false => self.occurrences().min(1) as usize,
        }
    }

    /// Whether a step of it runs until the job is cancelled.
    pub fn lasts(&self) -> bool {
        self.steps.iter().any(|s| s.lasting)
    }

    /// The core-milliseconds of an occurrence, if a task of each step takes `takes_ms`.
    pub fn work(&self, takes_ms: &[u64]) -> f64 {
        let steps = self.steps.iter().zip(takes_ms);
        steps
            .map(|(step, takes_ms)| {
                let cores = step.demand.cores();
                cores * f64::from(step.tasks) * *takes_ms as f64
            })
            .sum()
    }

    /// The length of the critical path from each step to the end, in milliseconds, if a
    /// task of each step takes `takes_ms`.
    pub fn critical_paths_ms(&self, takes_ms: &[u64]) -> Vec<u64> {
        let mut longest_ms = takes_ms.to_vec();
        for step in (0..self.steps.len()).rev() {
            for dependency in &self.steps[step].after {
                let dependency = usize::from(*dependency);
                longest_ms[dependency] =
                    longest_ms[dependency].max(takes_ms[dependency] + longest_ms[step]);
            }
        }
        longest_ms
    }
}
