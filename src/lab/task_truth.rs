use crate::jobs::RunResult;

/// How a task truly behaves, whatever its caller estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskTruth {
    /// How long a run takes.
    pub run_ms: u64,
    /// How long a run takes for a percent of its progress.
    pub percent_ms: u64,
    /// How many of its runs fail, half-way, before one does its work.
    pub failures: u32,
}

impl TaskTruth {
    /// One whose progress is even.
    pub fn even(run_ms: u64, failures: u32) -> Self {
        Self {
            run_ms,
            percent_ms: run_ms.div_ceil(100).max(1),
            failures,
        }
    }

    /// How the run ends that begins after so many failures, and after what time.
    pub fn next_run(&self, failures: u32) -> (RunResult, u64) {
        if failures < self.failures {
            (RunResult::Failed, (self.run_ms / 2).max(1))
        } else {
            (RunResult::Done, self.run_ms)
        }
    }
}
