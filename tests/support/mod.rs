//! What the integration tests share: real processes, ports, waiting.
// Each test crate uses a part of it.
#![allow(dead_code, unused_imports, missing_docs, clippy::unwrap_used)]

mod fake_entry;
#[path = "../other_build/mod.rs"]
mod other_build;
mod process;
mod system;
mod upstreams;

pub use fake_entry::{FakeEntry, FakeRequest, reply};
pub use process::{Process, command};
pub use system::{System, assert_clean, read_report};
pub use upstreams::{Upstreams, controls};

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
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

/// A port that nobody else takes: below the range from which the kernel takes
/// ports for connections, so that it stays free between its choice and its use
/// and over a restart, and in a block that only this process of the tests uses.
pub fn free_address() -> SocketAddr {
    static BLOCKS: Mutex<Vec<(TcpListener, u16)>> = Mutex::new(Vec::new());
    let mut blocks = BLOCKS.lock().unwrap();
    loop {
        let base = match blocks.last_mut() {
            Some((base, used)) if *used + 1 < BLOCK_PORTS => {
                *used += 1;
                base.local_addr().unwrap().port() + *used
            }
            _ => {
                blocks.push((take_block(), 0));
                continue;
            }
        };
        let address = SocketAddr::from(([127, 0, 0, 1], base));
        // Not by listening for a moment: a child that another test forks then
        // holds the port until it runs its program, and the port looks taken.
        if TcpStream::connect(address).is_err() {
            return address;
        }
    }
}

const BLOCK_PORTS: u16 = 50;

/// Takes a block by listening on its first port until the process ends.
fn take_block() -> TcpListener {
    let blocks = 20_000 / BLOCK_PORTS;
    let first = (std::process::id() % u32::from(blocks)) as u16;
    (0..blocks)
        .map(|n| 10_000 + (first + n) % blocks * BLOCK_PORTS)
        .find_map(|port| TcpListener::bind(("127.0.0.1", port)).ok())
        .unwrap()
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
