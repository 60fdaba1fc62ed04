//! The clocks of an instance: monotonic time across suspensions, wall clock time, and the
//! estimate of the latter that decisions use.

mod boottime;
mod clock;
mod wall_clock;

pub use boottime::boottime_ms;
pub use clock::Clock;
pub use wall_clock::WallClock;
