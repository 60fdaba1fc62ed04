/// Timeouts and limits of the controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerSettings {
    /// Age from which a report no longer permits a dispatch.
    pub dispatch_lease_ms: u64,
    /// Margin added to the lease before it counts as expired everywhere: the longest
    /// delay of a report through a peer, and the drift of two clocks over a lease.
    pub clock_margin_ms: u64,
    /// Time without a report after which an instance counts as failed.
    pub failed_after_ms: u64,
    /// Time without a failure before a failed instance counts as recovered; doubled
    /// for each flap after the first, four times at most.
    pub stable_ms: u64,
    /// Time in which a failed instance may recover by itself before it is repaired.
    pub repair_after_ms: u64,
    /// Time a repair may take before the instance is set aside.
    pub repair_timeout_ms: u64,
    /// Most repairs in progress at the same time.
    pub max_concurrent_repairs: u32,
    /// Repairs within `repair_window_ms` after which the instance is set aside.
    pub max_repairs: u32,
    /// Period over which repairs of one instance are counted.
    pub repair_window_ms: u64,
    /// Time a pool's budget stays broken before it borrows from another pool.
    pub borrow_after_ms: u64,
    /// Time before an order or a proposal without effect is repeated.
    pub retry_interval_ms: u64,
    /// Most proposals in one step: the loss of a zone with 7,000 instances enters
    /// the log in parts, so that other commands are not held up.
    pub proposals_per_step: usize,
}

impl Default for ControllerSettings {
    /// Settings for one report per second: a lease outlasts the loss of four out of
    /// five reports.
    fn default() -> Self {
        Self {
            dispatch_lease_ms: 5_000,
            // 1 s of delay; a drift of 200 ppm is 1 ms over a lease.
            clock_margin_ms: 1_500,
            failed_after_ms: 8_000,
            stable_ms: 10_000,
            // Most gaps in reports are a process restart of less than 30 s.
            repair_after_ms: 30_000,
            repair_timeout_ms: 30 * 60_000,
            // The size of a rack, the largest group that fails together.
            max_concurrent_repairs: 4,
            max_repairs: 3,
            repair_window_ms: 6 * 3_600_000,
            // Twice the usual repair time, because a loan costs two moves.
            borrow_after_ms: 10 * 60_000,
            retry_interval_ms: 3_000,
            proposals_per_step: 256,
        }
    }
}
