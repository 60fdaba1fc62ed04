/// Times that the deployment sets, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Interval between a worker's reports.
    pub report_interval_ms: u64,
    /// The longest lease that a worker accepts.
    pub lease_max_ms: u64,
    /// Longest time that a worker takes to stop a run.
    pub stop_timeout_ms: u64,
    /// Time that a run takes to restore its progress.
    pub restore_ms: u64,
    /// Shortest time for which an ended job is kept.
    pub remember_ms: u64,
    /// How long a machine is down for its upkeep.
    pub upkeep_ms: u64,
    /// Longest time that the planned shutdown of an instance may take.
    pub grace_ms: u64,
    /// How long before its due time an occurrence may start.
    pub early_ms: u64,
    /// Time without a running task, whatever the cause, after which the task counts against
    /// its disruption budget.
    pub notice_ms: u64,
}

impl Timing {
    /// Returns the longest lease that any leader grants, also one of an earlier build or with
    /// another policy.
    pub fn longest_lease_ms(&self) -> u64 {
        self.lease_max_ms.min(LONGEST_LEASE_MS)
    }
}

/// Longest lease that a leader grants, whatever its policy.
pub(in crate::control) const LONGEST_LEASE_MS: u64 = 5_000;
