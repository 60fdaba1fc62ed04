use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::LinkError;
use crate::model::EntryName;

/// How long a link has been down, and why. Tells each change of the reason once.
#[derive(Debug)]
pub(super) struct Outage {
    peer: EntryName,
    address: SocketAddr,
    /// When it began; none while the link is up.
    since: Option<Instant>,
    reason: Option<String>,
}

impl Outage {
    /// A link that is to come up.
    pub fn new(peer: EntryName, address: SocketAddr, now: Instant) -> Self {
        Self {
            peer,
            address,
            since: Some(now),
            reason: None,
        }
    }

    /// The link is up.
    pub fn over(&mut self, now: Instant) {
        let (peer, address) = (&self.peer, &self.address);
        if self.reason.take().is_some() {
            let down_ms = self.lasted(now).as_millis() as u64;
            tracing::info!(%peer, %address, down_ms, "link: up");
        } else {
            tracing::debug!(%peer, %address, "link: up");
        }
        self.since = None;
    }

    /// The link ended or did not come up.
    pub fn failed(&mut self, now: Instant, err: &LinkError) {
        self.since.get_or_insert(now);
        let reason = err.to_string();
        if self.reason.as_ref() != Some(&reason) {
            let down_ms = self.lasted(now).as_millis() as u64;
            let (peer, address) = (&self.peer, &self.address);
            tracing::info!(%peer, %address, reason, down_ms, "link: down");
            self.reason = Some(reason);
        }
    }

    /// How long it has been down.
    pub fn lasted(&self, now: Instant) -> Duration {
        self.since.map_or(Duration::ZERO, |at| now - at)
    }

    /// It is not tried any more.
    pub fn given_up(&self, now: Instant) {
        let down_ms = self.lasted(now).as_millis() as u64;
        let (peer, address) = (&self.peer, &self.address);
        let reason = self.reason.as_deref();
        tracing::info!(%peer, %address, reason, down_ms, "link: given up until there is something to send");
    }
}
