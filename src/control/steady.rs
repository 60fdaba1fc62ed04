use rustix::time::{ClockId, clock_gettime};

/// Milliseconds of a clock that goes on while the machine is suspended.
///
/// The usual steady clock does not count a suspension: a leader that was suspended
/// for seconds would wake believing that its quorum answered just now, and answer
/// reads from a state that others have long replaced.
pub fn steady_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}
