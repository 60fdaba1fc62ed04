use crate::jobs::{Job, JobSpec};

/// Forms of the description of a job that may still run: in the state, and encoded in the log.
const SPEC_FORMS: usize = 2;
/// Memory of a task that may still start: its progress, its step's places in the order of a
/// pool's work, and their share of a snapshot.
const TASK_BYTES: usize = 512;

/// Estimate of the memory that the jobs of the state take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobMemory {
    bytes: usize,
}

impl JobMemory {
    /// Returns the memory that a job takes while it may run, in bytes.
    pub fn of_active(spec: &JobSpec) -> usize {
        SPEC_FORMS * spec.memory_bytes() + spec.tasks() * TASK_BYTES
    }

    /// Returns the estimate for jobs, each with whether it may still run.
    pub fn of<'a>(jobs: impl Iterator<Item = (&'a Job, bool)>) -> Self {
        let bytes = jobs.map(|(job, is_active)| match is_active {
            true => Self::of_active(&job.spec),
            false => job.spec.memory_bytes(),
        });
        Self { bytes: bytes.sum() }
    }

    /// Returns the estimate in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a job that may run.
    pub(super) fn add(&mut self, spec: &JobSpec) {
        self.bytes += Self::of_active(spec);
    }

    /// Records that a job runs no more.
    pub(super) fn end(&mut self, spec: &JobSpec) {
        let kept_bytes = spec.memory_bytes();
        self.bytes = (self.bytes + kept_bytes).saturating_sub(Self::of_active(spec));
    }

    /// Records that a job that runs no more is forgotten.
    pub(super) fn forget(&mut self, spec: &JobSpec) {
        self.bytes = self.bytes.saturating_sub(spec.memory_bytes());
    }
}
