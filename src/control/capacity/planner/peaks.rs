use std::collections::VecDeque;

/// Sliding-window maximum of the machines that a pool needed.
#[derive(Debug, Default)]
pub(super) struct Peaks {
    /// Times and needs, with times ascending and needs strictly descending.
    needs: VecDeque<(u64, usize)>,
    /// Time of the first record.
    since_ms: Option<u64>,
}

impl Peaks {
    /// Records a need and drops those that are older than `kept_ms`.
    pub(super) fn record(&mut self, now_ms: u64, needs: usize, kept_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        // A need that is not above a newer one cannot be the maximum of any window that ends
        // now.
        while self.needs.back().is_some_and(|(_, lower)| *lower <= needs) {
            self.needs.pop_back();
        }
        self.needs.push_back((now_ms, needs));
        while self
            .needs
            .front()
            .is_some_and(|(at_ms, _)| now_ms > at_ms + kept_ms)
        {
            self.needs.pop_front();
        }
    }

    /// Returns the maximum of the last `over_ms`, 0 if there is no record in it.
    pub(super) fn peak(&self, now_ms: u64, over_ms: u64) -> usize {
        let recent = self
            .needs
            .iter()
            .find(|(at_ms, _)| now_ms <= at_ms + over_ms);
        recent.map_or(0, |(_, needs)| *needs)
    }

    /// Returns whether needs have been recorded for at least `for_ms`.
    pub(super) fn covers(&self, now_ms: u64, for_ms: u64) -> bool {
        self.since_ms.is_some_and(|at_ms| now_ms >= at_ms + for_ms)
    }
}
