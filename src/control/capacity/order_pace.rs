use std::collections::VecDeque;

/// Window in which the machine manager counts orders.
const WINDOW_MS: u64 = 1_000;
/// Part of a window's orders that may be open. While the machine manager answers slowly, fewer
/// new ones are sent, and what waits can still be decided otherwise.
const OPEN_PART: f64 = 0.25;
/// Open orders that are always allowed: a machine manager that takes a few seconds for each
/// still gets some.
const MIN_OPEN: usize = 8;
/// Part of the accepted rate that is used. The rest is left for orders that are sent again.
const USED_PART: f64 = 0.95;

/// Paces orders to the machine manager, which accepts so many a second.
///
/// Orders beyond the rate are refused or wait, and those that wait are carried out when the need
/// for them has passed: a leader that powers thousands of machines off at once cannot fetch
/// one back for seconds. So only as many are ordered as are accepted, the most needed first, and
/// the rest is decided again.
#[derive(Debug)]
pub struct OrderPace {
    per_window: usize,
    /// Times and numbers of the orders of the last window.
    sent: VecDeque<(u64, usize)>,
}

impl OrderPace {
    /// Creates a pace for a machine manager that accepts `per_s` orders a second.
    pub fn new(per_s: f64) -> Self {
        Self {
            per_window: ((per_s * USED_PART) as usize).max(1),
            sent: VecDeque::new(),
        }
    }

    /// Returns how many orders may be sent now, while `open` are not answered.
    pub fn allowance(&mut self, now_ms: u64, open: usize) -> usize {
        while self
            .sent
            .front()
            .is_some_and(|(at_ms, _)| now_ms >= at_ms + WINDOW_MS)
        {
            self.sent.pop_front();
        }
        let sent: usize = self.sent.iter().map(|(_, orders)| orders).sum();
        let open_max = ((self.per_window as f64 * OPEN_PART) as usize).max(MIN_OPEN);
        let unsent = self.per_window.saturating_sub(sent);
        unsent.min(open_max.saturating_sub(open))
    }

    /// Records that orders were sent.
    pub fn record_sent(&mut self, now_ms: u64, orders: usize) {
        if orders > 0 {
            self.sent.push_back((now_ms, orders));
        }
    }
}
