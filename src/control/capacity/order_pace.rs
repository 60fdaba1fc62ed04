/// Time for which unused orders may be saved up: two checks of the pools.
const SAVED_MS: f64 = 200.0;
/// Time within which open orders should be answered, at the rate that the machine manager
/// accepts. While it answers more slowly, fewer new ones are sent.
const OPEN_MS: f64 = 250.0;
/// Open orders that are always allowed: a machine manager that takes a few seconds for each
/// still gets some.
const MIN_OPEN: usize = 8;
/// Part of the accepted rate that is used. The rest is left for orders that are sent again.
const USED_PART: f64 = 0.9;

/// Paces orders to the machine manager, which accepts so many a second.
///
/// Orders beyond the rate are refused or wait, and those that wait are carried out when the need
/// for them has passed: a leader that powers thousands of machines off at once cannot fetch
/// one back for seconds. So only as many are ordered as can be carried out at once, the most
/// needed first, and the rest is decided again.
#[derive(Debug)]
pub struct OrderPace {
    per_s: f64,
    allowed: f64,
    updated_ms: u64,
}

impl OrderPace {
    /// Creates a pace for a machine manager that accepts `per_s` orders a second.
    pub fn new(now_ms: u64, per_s: f64) -> Self {
        Self {
            per_s,
            allowed: 0.0,
            updated_ms: now_ms,
        }
    }

    /// Returns how many orders may be sent now, while `open` are not answered.
    pub fn allowance(&mut self, now_ms: u64, open: usize) -> usize {
        let per_ms = self.per_s * USED_PART / 1_000.0;
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let saved = (per_ms * SAVED_MS).max(1.0);
        self.allowed = (self.allowed + per_ms * passed_ms).min(saved);
        self.updated_ms = now_ms;
        let open_max = ((per_ms * OPEN_MS) as usize).max(MIN_OPEN);
        (self.allowed as usize).min(open_max.saturating_sub(open))
    }

    /// Records that orders were sent.
    pub fn record_sent(&mut self, orders: usize) {
        self.allowed -= orders as f64;
    }
}
