use std::collections::BTreeMap;

use crate::jobs::{Job, JobId};
use crate::model::InstanceName;

/// The jobs of which runs may be going on, by worker, with how many of each there are.
///
/// It follows from the jobs and is no part of a snapshot. Without it the loss of one
/// worker walks every task of every active job, on all control instances: when a rack
/// is lost under a backlog, calls and renewals wait for a walk for each of its workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunsByWorker(BTreeMap<InstanceName, BTreeMap<JobId, usize>>);

impl RunsByWorker {
    /// All runs of these jobs.
    pub fn of<'a>(jobs: impl Iterator<Item = &'a Job>) -> Self {
        let mut all = Self::default();
        for job in jobs {
            for (_, run) in job.runs() {
                all.add(&run.worker, job.id);
            }
        }
        all
    }

    /// A run was placed.
    pub fn add(&mut self, worker: &InstanceName, job: JobId) {
        let jobs = self.0.entry(worker.clone()).or_default();
        *jobs.entry(job).or_default() += 1;
    }

    /// A run is over.
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

    /// All runs on a worker are over; returns whose there were.
    pub fn take(&mut self, worker: &InstanceName) -> impl Iterator<Item = JobId> + use<> {
        self.0.remove(worker).unwrap_or_default().into_keys()
    }
}
