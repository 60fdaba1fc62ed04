/// The time of day, carried on by the steady clock.
///
/// The time of day of an instance may jump by seconds and back. An occurrence
/// that is due must not start seconds early because of it, so the time of day is
/// read once at the start, and again only when it has differed for long.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    offset_ms: u64,
    differs_since_ms: Option<u64>,
}

/// A difference below this is drift, not a jump.
const DRIFT_MS: u64 = 100;
/// How long a difference lasts before it is believed: jumps that are taken back
/// last some seconds.
const BELIEVED_AFTER_MS: u64 = 30_000;

impl Clock {
    /// A clock that reads `unix_ms` at `now_ms`.
    pub fn new(unix_ms: u64, now_ms: u64) -> Self {
        Self {
            offset_ms: unix_ms.saturating_sub(now_ms),
            differs_since_ms: None,
        }
    }

    /// The time of day, in milliseconds since 1970.
    pub fn unix_ms(&self, now_ms: u64) -> u64 {
        self.offset_ms + now_ms
    }

    /// Compares it with the system's time of day.
    pub fn compare(&mut self, now_ms: u64, unix_ms: u64) {
        if self.unix_ms(now_ms).abs_diff(unix_ms) < DRIFT_MS {
            self.differs_since_ms = None;
            return;
        }
        let since_ms = *self.differs_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + BELIEVED_AFTER_MS {
            *self = Self::new(unix_ms, now_ms);
        }
    }
}
