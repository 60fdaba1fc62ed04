use std::collections::BTreeMap;

use crate::control::Report;
use crate::model::InstanceName;

/// The latest report of each worker that reached the leader, to detect stale ones.
#[derive(Debug, Default)]
pub struct Reports {
    latest: BTreeMap<InstanceName, LastReport>,
}

#[derive(Debug)]
struct LastReport {
    /// Start time of the worker's process, if it said so, and the number of the report.
    order: (Option<u64>, u64),
    at_ms: u64,
}

impl Reports {
    /// Records a report unless a newer one of the worker was recorded before; returns
    /// whether it did. `started_unix_ms` is the start time of the worker's process, if it
    /// said so; the numbers of its reports begin anew with it.
    ///
    /// A report that was delayed on its way may say that a worker is ready which has since
    /// reported that it is draining.
    pub fn record_if_current(
        &mut self,
        now_ms: u64,
        started_unix_ms: Option<u64>,
        report: &Report,
    ) -> bool {
        let order = (started_unix_ms, report.sequence);
        let latest = self
            .latest
            .entry(report.worker.clone())
            .or_insert(LastReport {
                order,
                at_ms: now_ms,
            });
        if order < latest.order {
            return false;
        }
        latest.order = order;
        latest.at_ms = now_ms;
        true
    }

    /// Returns the time of the worker's last report to this leader.
    pub fn heard_ms(&self, worker: &InstanceName) -> Option<u64> {
        self.latest.get(worker).map(|latest| latest.at_ms)
    }

    /// Forgets a worker.
    pub fn forget(&mut self, worker: &InstanceName) {
        self.latest.remove(worker);
    }
}
