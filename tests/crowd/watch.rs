//! What a process holds: resident memory, arrived and unread bytes of its connections, and
//! descriptors, as the kernel counts them.

use std::net::SocketAddr;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Time without a change after which a crowd's data is no longer read.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The most that a process held.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    pub resident_bytes: usize,
    pub unread_bytes: usize,
    pub descriptors: usize,
}

/// Watches a process until it is asked what the process held.
pub struct Watch {
    stop: Sender<()>,
    sampler: JoinHandle<Held>,
}

impl Watch {
    /// Watches a process that listens at these addresses.
    pub fn start(pid: u32, listeners: &[SocketAddr]) -> Self {
        let listeners: Vec<_> = listeners.iter().map(in_kernel_notation).collect();
        let (stop, stopped) = channel();
        let sampler = std::thread::spawn(move || {
            let mut most = Held::default();
            while stopped.recv_timeout(SAMPLE_INTERVAL) == Err(RecvTimeoutError::Timeout) {
                most.unread_bytes = most.unread_bytes.max(unread_bytes(&listeners));
                most.descriptors = most.descriptors.max(descriptors(pid));
            }
            most.resident_bytes = peak_resident_bytes(pid);
            most
        });
        Self { stop, sampler }
    }

    /// Returns the most that the process has held.
    pub fn most_held(self) -> Held {
        drop(self.stop);
        self.sampler.join().unwrap()
    }

    /// Checks that the process held no more than these limits.
    pub fn assert_within(self, memory_mb: usize, max_fds: usize) {
        let held = self.most_held();
        println!("{held:?} of {memory_mb} MB and {max_fds} descriptors");
        assert!(held.resident_bytes > 0, "the process has ended");
        let bytes = held.resident_bytes + held.unread_bytes;
        assert!(bytes <= memory_mb << 20, "over {memory_mb} MB: {held:?}");
        assert!(held.descriptors <= max_fds, "over {max_fds}: {held:?}");
    }
}

/// Returns the largest resident memory that a process had, 0 if it has ended.
fn peak_resident_bytes(pid: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|value| value.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) << 10
}

fn descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}

/// Returns an address as the kernel's table of connections shows it.
fn in_kernel_notation(address: &SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("{address} is no IPv4 address");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// Returns the bytes that have arrived at these addresses and were not read, also on
/// connections that are not accepted yet.
fn unread_bytes(listeners: &[String]) -> usize {
    let rows = connections().into_iter();
    let local = rows.filter(|row| listeners.contains(&row.local));
    local.map(|row| row.unread_bytes).sum()
}

/// Waits until a listener's process has read all that clients have sent to it, or reads no
/// more of it.
pub fn until_settled(listener: SocketAddr) {
    let listener = in_kernel_notation(&listener);
    let mut last = (usize::MAX, Instant::now());
    while last.0 > 0 && last.1.elapsed() < SETTLE_TIME {
        let sent = connections().into_iter().map(|row| match &row {
            row if row.local == listener => row.unread_bytes,
            row if row.remote == listener => row.unsent_bytes,
            _ => 0,
        });
        let sent = sent.sum();
        if sent != last.0 {
            last = (sent, Instant::now());
        }
        std::thread::park_timeout(SAMPLE_INTERVAL);
    }
}

/// A row of the kernel's table of connections.
struct Connection {
    local: String,
    remote: String,
    unsent_bytes: usize,
    unread_bytes: usize,
}

/// Returns the open connections of this machine.
fn connections() -> Vec<Connection> {
    const LISTENING: &str = "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote) = (fields.next()?, fields.next()?);
        let is_open = fields.next()? != LISTENING;
        let (unsent, unread) = fields.next()?.split_once(':')?;
        is_open.then_some(Connection {
            local: local.to_owned(),
            remote: remote.to_owned(),
            unsent_bytes: usize::from_str_radix(unsent, 16).ok()?,
            unread_bytes: usize::from_str_radix(unread, 16).ok()?,
        })
    });
    rows.collect()
}
