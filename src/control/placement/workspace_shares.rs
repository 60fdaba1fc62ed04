use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::jobs::{Job, JobId};
use crate::model::WorkspaceName;

/// Window over which a workspace's jobs are counted.
const WINDOW_MS: u64 = 1_000;

/// The jobs that workspaces submitted beyond their shares.
///
/// When one workspace floods a queue, its jobs fill the pool, and the jobs of all others wait
/// behind them, although those keep within their shares. So a job beyond its workspace's
/// weight, in jobs a second, goes behind all others of its queue's priority. None is refused:
/// while there is room, they run as well.
#[derive(Debug, Default)]
pub struct WorkspaceShares {
    /// When the jobs within the share of each workspace arrived, in milliseconds since 1970.
    recent: BTreeMap<WorkspaceName, VecDeque<u64>>,
    beyond: BTreeSet<JobId>,
}

impl WorkspaceShares {
    /// Records the arrival of a job and decides whether it is beyond its workspace's share.
    /// `weight` is in jobs a second. Jobs have to be recorded in the order of their arrival.
    pub fn record_arrival(&mut self, job: &Job, weight: f64) {
        let Some(workspace) = &job.workspace else {
            return;
        };
        let at_unix_ms = job.accepted_unix_ms;
        let recent = self.recent.entry(workspace.clone()).or_default();
        while recent
            .front()
            .is_some_and(|at| at + WINDOW_MS <= at_unix_ms)
        {
            recent.pop_front();
        }
        if (recent.len() as f64) < weight * WINDOW_MS as f64 / 1_000.0 {
            recent.push_back(at_unix_ms);
        } else {
            self.beyond.insert(job.id);
        }
    }

    /// Returns whether a job is beyond its workspace's share.
    pub fn is_beyond(&self, job: JobId) -> bool {
        self.beyond.contains(&job)
    }

    /// Forgets the jobs for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(JobId) -> bool) {
        self.beyond.retain(|job| keep(*job));
    }
}
