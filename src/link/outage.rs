use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::LinkError;
use crate::model::EntryName;

/// Tracks how long a link has been down and why. Logs each change of the reason once.
#[derive(Debug)]
pub(super) struct Outage {
    peer: EntryName,
    address: SocketAddr,
    /// Start of the outage, or `None` while the link is up.
    since: Option<Instant>,
    reason: Option<String>,
}

impl Outage {
    /// Starts tracking a link that is not up yet.
    pub fn new(peer: EntryName, address: SocketAddr, now: Instant) -> Self {
        Self {
            peer,
            address,
            since: Some(now),
            reason: None,
        }
    }

    /// Records that the link is up.
    pub fn record_up(&mut self, now: Instant) {
        let (peer, address) = (&self.peer, &self.address);
        if self.reason.take().is_some() {
            let down_ms = self.duration(now).as_millis() as u64;
            tracing::info!(%peer, %address, down_ms, "link: up");
        } else {
            tracing::debug!(%peer, %address, "link: up");
        }
        self.since = None;
    }

    /// Records that the link ended or did not come up.
    pub fn record_failure(&mut self, now: Instant, err: &LinkError) {
        self.since.get_or_insert(now);
        let reason = err.to_string();
        if self.reason.as_ref() != Some(&reason) {
            let down_ms = self.duration(now).as_millis() as u64;
            let (peer, address) = (&self.peer, &self.address);
            tracing::info!(%peer, %address, reason, down_ms, "link: down");
            self.reason = Some(reason);
        }
    }

    /// Returns how long the link has been down.
    pub fn duration(&self, now: Instant) -> Duration {
        self.since.map_or(Duration::ZERO, |at| now - at)
    }

    /// Logs that connection attempts stop.
    pub fn log_abandoned(&self, now: Instant) {
        let down_ms = self.duration(now).as_millis() as u64;
        let (peer, address) = (&self.peer, &self.address);
        let reason = self.reason.as_deref();
        tracing::info!(%peer, %address, reason, down_ms, "link: abandoned until the next frame is sent");
    }
}
