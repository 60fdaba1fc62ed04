use crate::model::InstanceName;

/// How long after the usual upkeep time a machine that does not report still counts as down
/// for its upkeep: two report intervals. If it stays silent for longer, it is down for
/// another reason.
const RETURN_GRACE_MS: u64 = 3_000;

/// A machine that is down for its upkeep.
#[derive(Debug)]
pub(super) struct Down {
    pub(super) since_ms: u64,
    /// When the order that was confirmed was sent. The machine is back no sooner than the time
    /// of an upkeep later.
    pub(super) ordered_ms: u64,
    /// The incarnations that the upkeep may have ended: the one that was drained, and the one
    /// that was known when the upkeep was confirmed, as a move may have come between them. The
    /// machine is back when it reports another.
    pub(super) ended_workers: Vec<InstanceName>,
}

impl Down {
    /// Returns whether the machine is back, of which `worker` is the known incarnation.
    pub(super) fn is_back(
        &self,
        now_ms: u64,
        worker: Option<&InstanceName>,
        upkeep_ms: u64,
    ) -> bool {
        let is_overdue = now_ms > self.since_ms + upkeep_ms + RETURN_GRACE_MS;
        let is_due = now_ms >= self.ordered_ms + upkeep_ms;
        match worker {
            Some(worker) => is_overdue || is_due && !self.ended_workers.contains(worker),
            // A machine that was off comes back without a worker.
            None => is_overdue,
        }
    }
}
