/// Wall-clock time that advances with the monotonic clock.
///
/// The system's wall clock may jump by seconds and back, and an occurrence must not start
/// seconds early because of that. The wall clock is therefore read once at the start, and
/// adopted again only if it has differed for a long time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    offset_ms: u64,
    differs_since_ms: Option<u64>,
}

/// Differences below this are drift and are ignored.
const MAX_DRIFT_MS: u64 = 100;
/// How long a difference must last before the system's time is adopted: jumps that are
/// reverted last only some seconds.
const JUMP_CONFIRMATION_MS: u64 = 30_000;

impl Clock {
    /// Creates a clock that reads `unix_ms` at the monotonic time `now_ms`.
    pub fn new(unix_ms: u64, now_ms: u64) -> Self {
        Self {
            offset_ms: unix_ms.saturating_sub(now_ms),
            differs_since_ms: None,
        }
    }

    /// Returns the time of day, in milliseconds since 1970.
    pub fn unix_ms(&self, now_ms: u64) -> u64 {
        self.offset_ms + now_ms
    }

    /// Compares the clock with the system's time of day, and adopts that if it has differed for
    /// long enough.
    pub fn compare(&mut self, now_ms: u64, unix_ms: u64) {
        if self.unix_ms(now_ms).abs_diff(unix_ms) < MAX_DRIFT_MS {
            self.differs_since_ms = None;
            return;
        }
        let since_ms = *self.differs_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + JUMP_CONFIRMATION_MS {
            *self = Self::new(unix_ms, now_ms);
        }
    }
}
