/// Times that the deployment sets, each in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// How often a worker reports.
    pub report_interval_ms: u64,
    /// The longest lease that a worker accepts.
    pub lease_max_ms: u64,
    /// How long a stop of a run takes at most.
    pub stop_timeout_ms: u64,
    /// How long a job's end is remembered at least.
    pub remember_ms: u64,
    /// How long a machine is down for its upkeep.
    pub upkeep_ms: u64,
    /// How long a planned stop may take.
    pub grace_ms: u64,
    /// How early an occurrence may start.
    pub early_ms: u64,
    /// From a task's absence on, whatever its cause, it counts against the
    /// disruption budget.
    pub notice_ms: u64,
}

impl Timing {
    /// The lease that workers get: as long as the platform accepts, but not above
    /// [`LEASE_MS`].
    pub fn lease_ms(&self) -> u64 {
        self.lease_max_ms.min(LEASE_MS)
    }
}

/// A worker's lease. Longer than a change of leader takes (an election of at most
/// 2 s and a first renewal), or every lost leader ends all runs; short enough that
/// the tasks of a lost worker start again before their jobs are late.
const LEASE_MS: u64 = 5_000;
