/// The lengths of leases that a worker may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseLimits {
    /// Lease that the leader grants with each order.
    pub granted_ms: u64,
    /// Longest lease that an earlier leader may have granted.
    pub inherited_ms: u64,
    /// Longest lease that a worker accepts. One that has started again under its name may have
    /// got it from an order to its earlier process, whose clock was ahead of its own.
    pub accepted_ms: u64,
}

impl LeaseLimits {
    /// Returns limits that are all the same.
    pub const fn uniform(lease_ms: u64) -> Self {
        Self {
            granted_ms: lease_ms,
            inherited_ms: lease_ms,
            accepted_ms: lease_ms,
        }
    }
}
