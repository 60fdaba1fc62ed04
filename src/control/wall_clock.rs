use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};

use crate::unix_time::unix_ms;

/// The machine's time of day with an offset, which trials set to let one instance's
/// time of day jump; clones share it.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    offset_ms: Arc<AtomicI64>,
}

impl WallClock {
    /// Sets the offset, in milliseconds.
    pub fn set_offset_ms(&self, offset_ms: i64) {
        self.offset_ms.store(offset_ms, Ordering::Relaxed);
    }

    /// The time of day, in milliseconds since 1970.
    pub fn unix_ms(&self) -> u64 {
        unix_ms().saturating_add_signed(self.offset_ms.load(Ordering::Relaxed))
    }
}
