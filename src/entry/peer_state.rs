use std::collections::BTreeMap;

use crate::maintenance::EntryAck;
use crate::model::InstanceName;

/// State of a peer, from its frames.
#[derive(Debug, Default)]
pub(super) struct PeerState {
    /// The peer's incarnation.
    pub incarnation: u64,
    /// The newest send time received from it, on its clock.
    pub newest_sent_ms: Option<u64>,
    /// Time of its last frame, on this clock.
    pub heard_ms: Option<u64>,
    /// The highest log index it has reported as applied.
    pub applied_index: u64,
    /// The log index for which `in_flight` was counted. Not the highest index reported:
    /// with counts from before a drain, a request sent in between would be overlooked,
    /// and the instance moved or rebooted under it.
    pub in_flight_index: u64,
    /// Its attempts in flight at `in_flight_index`, by instance.
    pub in_flight: BTreeMap<InstanceName, u32>,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether it counts as gone.
    pub gone: bool,
}

impl PeerState {
    /// Resets the state after a restart of the peer.
    pub fn reset(&mut self, incarnation: u64) {
        *self = Self {
            incarnation,
            ..Self::default()
        };
    }

    /// Time since its last frame, in milliseconds; since this process's start if there
    /// was none.
    pub fn silent_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms.unwrap_or(0))
    }

    /// Returns its acknowledgement for the fleet controller.
    pub fn ack(&self) -> EntryAck {
        EntryAck {
            applied_index: self.in_flight_index,
            in_flight: self.in_flight.clone(),
        }
    }
}
