use std::collections::BTreeMap;

use super::Report;
use crate::model::InstanceName;

/// What the leader remembers of workers' reports, to tell late ones.
#[derive(Debug, Default)]
pub struct Reports {
    latest: BTreeMap<InstanceName, Latest>,
}

#[derive(Debug)]
struct Latest {
    sequence: u64,
    at_ms: u64,
}

impl Reports {
    /// Whether the report is not older than one that was taken; notes it then.
    ///
    /// A report that was held up on its way may say that a worker is ready which
    /// has since said that it drains.
    pub fn is_newer(&mut self, now_ms: u64, report: &Report) -> bool {
        let latest = self.latest.entry(report.worker.clone()).or_insert(Latest {
            sequence: report.sequence,
            at_ms: now_ms,
        });
        if report.sequence < latest.sequence {
            return false;
        }
        latest.sequence = report.sequence;
        latest.at_ms = now_ms;
        true
    }

    /// When a worker reported last to this leader.
    pub fn heard_ms(&self, worker: &InstanceName) -> Option<u64> {
        self.latest.get(worker).map(|latest| latest.at_ms)
    }

    /// Forgets a worker.
    pub fn forget(&mut self, worker: &InstanceName) {
        self.latest.remove(worker);
    }
}
