//! The machine's time of day.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970; 0 on a machine whose clock is before that.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
