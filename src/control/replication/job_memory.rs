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
    /// Returns the memory that a job takes while it may run, in bytes, beside occurrences that
    /// are open at the same time.
    pub fn of_active(spec: &JobSpec) -> usize {
        Self::with_open(spec, 0)
    }

    /// Returns the memory that one more open occurrence of a job takes, in bytes; 0 if it is
    /// counted with the job.
    pub fn of_next_occurrence(job: &Job) -> usize {
        let open = job.open_occurrences();
        Self::with_open(&job.spec, open + 1) - Self::with_open(&job.spec, open)
    }

    /// Returns the memory of a job that may run, in bytes, with so many open occurrences.
    fn with_open(spec: &JobSpec, open: usize) -> usize {
        let occurrences = open.max(spec.reserved_occurrences());
        SPEC_FORMS * spec.memory_bytes() + occurrences * spec.tasks() * TASK_BYTES
    }

    /// Returns the estimate for jobs, each with whether it may still run.
    pub fn of<'a>(jobs: impl Iterator<Item = (&'a Job, bool)>) -> Self {
        let bytes = jobs.map(|(job, is_active)| match is_active {
            true => Self::with_open(&job.spec, job.open_occurrences()),
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

    /// Records that the number of open occurrences of a job that may run has changed.
    pub(super) fn resize(&mut self, spec: &JobSpec, open_before: usize, open: usize) {
        if open != open_before {
            self.bytes += Self::with_open(spec, open);
            self.bytes = self
                .bytes
                .saturating_sub(Self::with_open(spec, open_before));
        }
    }

    /// Records that a job runs no more.
    pub(super) fn end(&mut self, job: &Job) {
        let active_bytes = Self::with_open(&job.spec, job.open_occurrences());
        let kept_bytes = job.spec.memory_bytes();
        self.bytes = (self.bytes + kept_bytes).saturating_sub(active_bytes);
    }

    /// Records that a job that runs no more is forgotten.
    pub(super) fn forget(&mut self, spec: &JobSpec) {
        self.bytes = self.bytes.saturating_sub(spec.memory_bytes());
    }
}
