use std::collections::BTreeMap;

use crate::maintenance::EntryAck;
use crate::model::InstanceName;

/// What is known of a peer.
#[derive(Debug, Default)]
pub(super) struct PeerState {
    /// Its start.
    pub incarnation: u64,
    /// The newest time stamp received from it, on its clock.
    pub newest_sent_ms: Option<u64>,
    /// When it was last heard, on this clock.
    pub heard_ms: Option<u64>,
    /// The highest index it said it has applied.
    pub applied_index: u64,
    /// The index at which it counted what it had in flight. Not the highest it
    /// said: with counts from before a drain, a request sent in between would be
    /// overlooked, and the instance moved or rebooted under it.
    pub in_flight_index: u64,
    /// What it had in flight at that index.
    pub in_flight: BTreeMap<InstanceName, u32>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether it counts as gone.
    pub gone: bool,
}

impl PeerState {
    /// Forgets what an earlier start of the peer said.
    pub fn restarted(&mut self, incarnation: u64) {
        *self = Self {
            incarnation,
            ..Self::default()
        };
    }

    /// How long it has been silent; since this process's start if never heard.
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms.unwrap_or(0))
    }

    /// What it acknowledged.
    pub fn ack(&self) -> EntryAck {
        EntryAck {
            applied_index: self.in_flight_index,
            in_flight: self.in_flight.clone(),
        }
    }
}
