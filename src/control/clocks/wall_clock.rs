use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use crate::unix_time::unix_ms;

/// The system's time of day plus an offset, which tests of whole clusters set to make the
/// time of one instance jump. Clones share the offset.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    offset_ms: Arc<AtomicI64>,
}

impl WallClock {
    /// Sets the offset, in milliseconds.
    pub fn set_offset_ms(&self, offset_ms: i64) {
        self.offset_ms.store(offset_ms, Ordering::Relaxed);
    }

    /// Returns the time of day with the offset, in milliseconds since 1970.
    pub fn unix_ms(&self) -> u64 {
        unix_ms().saturating_add_signed(self.offset_ms.load(Ordering::Relaxed))
    }
}
