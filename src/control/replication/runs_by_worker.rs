use std::collections::BTreeMap;

use crate::jobs::{Job, JobId};
use crate::model::InstanceName;

/// Index of the jobs with runs on each worker, with the number of runs of each job.
///
/// The index is derived from the jobs and is not part of a snapshot. Without it the loss of
/// a worker requires a scan of every task of every active job on all control instances.
/// When a rack is lost under a backlog, calls and renewals would wait for one scan per
/// worker of the rack.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunsByWorker(BTreeMap<InstanceName, BTreeMap<JobId, usize>>);

impl RunsByWorker {
    /// Builds the index of these jobs' runs.
    pub fn of<'a>(jobs: impl Iterator<Item = &'a Job>) -> Self {
        let mut all = Self::default();
        for job in jobs {
            for (_, run) in job.runs() {
                all.add(&run.worker, job.id);
            }
        }
        all
    }

    /// Adds a run of a job on a worker.
    pub fn add(&mut self, worker: &InstanceName, job: JobId) {
        let jobs = self.0.entry(worker.clone()).or_default();
        *jobs.entry(job).or_default() += 1;
    }

    /// Removes a run of a job on a worker.
    pub fn remove(&mut self, worker: &InstanceName, job: JobId) {
        let Some(jobs) = self.0.get_mut(worker) else {
            return;
        };
        if let Some(runs) = jobs.get_mut(&job) {
            *runs -= 1;
            if *runs == 0 {
                jobs.remove(&job);
            }
        }
        if jobs.is_empty() {
            self.0.remove(worker);
        }
    }

    /// Removes all runs on a worker and returns the jobs that they belong to.
    pub fn take(&mut self, worker: &InstanceName) -> impl Iterator<Item = JobId> + use<> {
        self.0.remove(worker).unwrap_or_default().into_keys()
    }
}
