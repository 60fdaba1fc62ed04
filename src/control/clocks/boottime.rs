use rustix::time::{ClockId, clock_gettime};

/// Returns the milliseconds of a monotonic clock that counts the time in which the machine
/// is suspended.
///
/// The usual monotonic clock stops during a suspension. A leader that was suspended for
/// seconds would then believe that its quorum answered just now, and answer reads from a
/// state that another leader has long replaced.
pub fn boottime_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}
