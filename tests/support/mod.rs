//! What the integration tests share: real processes, ports, waiting.
// Each test crate uses a part of it.
#![allow(dead_code, unused_imports, missing_docs, clippy::unwrap_used)]

mod fake_entry;
mod process;
mod system;
mod upstreams;

pub use fake_entry::{FakeEntry, FakeRequest, reply};
pub use process::{Process, command};
pub use system::{System, assert_clean, read_report};
pub use upstreams::Upstreams;

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ureq::Agent;

/// Between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);

/// Waits until `cond` holds; fails the test if it doesn't in time.
#[track_caller]
pub fn until(deadline_ms: u64, what: &str, mut cond: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_millis(deadline_ms);
    while !cond() {
        assert!(Instant::now() < end, "not within {deadline_ms} ms: {what}");
        thread::park_timeout(LOOK);
    }
}

/// Checks that `cond` holds all the time.
#[track_caller]
pub fn throughout(ms: u64, what: &str, mut cond: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_millis(ms);
    while Instant::now() < end {
        assert!(cond(), "no longer holds: {what}");
        thread::park_timeout(LOOK);
    }
}

/// A port below the range from which the kernel takes ports for connections,
/// so that one stays free between its choice and its use, and over a restart.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        // Test processes start at different places by their ids.
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 10_000 + (std::process::id().wrapping_mul(61) + step) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// An HTTP client that never gives one call more than `timeout_ms`.
pub fn agent(timeout_ms: u64) -> Agent {
    Agent::config_builder()
        .max_redirects(0)
        .http_status_as_error(false)
        .proxy(None)
        .timeout_global(Some(Duration::from_millis(timeout_ms)))
        .build()
        .new_agent()
}
