/// How long the controller waits for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerSettings {
    /// Age at which a report no longer permits a dispatch.
    pub dispatch_lease_ms: u64,
    /// Added to the lease before it counts as run out everywhere: the longest
    /// way of a report through a peer, and the drift of two clocks over a lease.
    pub clock_margin_ms: u64,
    /// Silence after which an instance counts as failed.
    pub failed_after_ms: u64,
    /// Time without a failure before a failed instance counts as back; doubled
    /// for each flap, four times at most.
    pub stable_ms: u64,
    /// Time a failed instance has to come back by itself.
    pub repair_after_ms: u64,
    /// Time a repair may take before the instance is set aside.
    pub repair_limit_ms: u64,
    /// Repairs at once.
    pub repairs_at_once: u32,
    /// Repairs within `repair_window_ms` after which the instance is set aside.
    pub repairs_max: u32,
    /// Time over which repairs of one instance are counted.
    pub repair_window_ms: u64,
    /// Time a pool stays broken before it borrows from another.
    pub borrow_after_ms: u64,
    /// Time before an order or a proposal without effect comes again.
    pub again_ms: u64,
    /// Proposals in one step, at most: the loss of a zone with 7,000 instances
    /// enters the log in parts that leave room for others.
    pub proposals_per_step: usize,
}

impl Default for ControllerSettings {
    /// For reports every second: four of five may be lost before a lease ends.
    fn default() -> Self {
        Self {
            dispatch_lease_ms: 5_000,
            // 1 s on the way, and 200 ppm of drift is 1 ms over a lease.
            clock_margin_ms: 1_500,
            failed_after_ms: 8_000,
            stable_ms: 10_000,
            // Most silences are a process restart, over within half a minute.
            repair_after_ms: 30_000,
            repair_limit_ms: 30 * 60_000,
            // A rack: the largest set that fails together by itself.
            repairs_at_once: 4,
            repairs_max: 3,
            repair_window_ms: 6 * 3_600_000,
            // Twice the usual repair: a loan costs two moves.
            borrow_after_ms: 10 * 60_000,
            again_ms: 3_000,
            proposals_per_step: 256,
        }
    }
}
