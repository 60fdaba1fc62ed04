use std::collections::VecDeque;
use std::sync::Arc;

use super::{Reply, Snapshot, Timestamp};

/// Bounds the unacknowledged batches per peer. Eight keep a link with a latency of a few
/// milliseconds busy; more would only be wasted on a peer that is down.
const MAX_IN_FLIGHT_BATCHES: usize = 8;

/// The leader's view of one peer's log.
#[derive(Debug)]
pub(super) struct Progress {
    /// Incarnation of the data folder from which the peer replies.
    pub(super) incarnation: Option<u64>,
    /// The last acknowledged index.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    pub(super) next_index: u64,
    /// The highest index that the peer reported as applied.
    pub(super) applied_index: u64,
    /// Sending time of the latest message of this leader that the peer answered.
    pub(super) echo_ms: Option<u64>,
    /// The latest timestamp received from the peer.
    pub(super) stamp: Option<Timestamp>,
    /// End of the last granted view lease, on the leader's clock.
    pub(super) lease_end_ms: u64,
    /// Time of the last message to the peer.
    pub(super) sent_ms: u64,
    /// Commit index in the last message to the peer.
    pub(super) sent_commit_index: u64,
    pub(super) mode: Mode,
}

/// How entries are sent to a peer.
#[derive(Debug)]
pub(super) enum Mode {
    /// The matching index is unknown; one message at a time searches for it.
    Probe {
        /// Whether that message is still unanswered.
        awaiting_reply: bool,
    },
    /// Batches are pipelined without waiting for replies.
    Replicate {
        /// The last index of each unacknowledged batch.
        in_flight: VecDeque<u64>,
    },
    /// A snapshot is transferred in chunks.
    Snapshot {
        /// The snapshot being transferred.
        snapshot: Arc<Snapshot>,
        /// Bytes that the peer has received.
        bytes: u64,
    },
}

impl Progress {
    pub(super) fn new(next_index: u64, lease_end_ms: u64) -> Self {
        Self {
            incarnation: None,
            match_index: 0,
            next_index,
            applied_index: 0,
            echo_ms: None,
            stamp: None,
            lease_end_ms,
            sent_ms: 0,
            sent_commit_index: 0,
            mode: Mode::Probe {
                awaiting_reply: false,
            },
        }
    }

    /// Records the sender and time of a reply. A reply from another data folder voids
    /// earlier acknowledgements.
    pub(super) fn record_reply(&mut self, now_ms: u64, reply: &Reply) {
        if self.incarnation != reply.incarnation {
            self.incarnation = reply.incarnation;
            self.match_index = 0;
            self.mode = Mode::Probe {
                awaiting_reply: false,
            };
        }
        self.echo_ms = self.echo_ms.max(Some(reply.echo_ms.min(now_ms)));
        match self.stamp {
            Some(stamp) if stamp.start == reply.stamp.start => {
                self.applied_index = self.applied_index.max(reply.applied_index);
                let at_ms = stamp.at_ms.max(reply.stamp.at_ms);
                self.stamp = Some(Timestamp { at_ms, ..stamp });
            }
            _ => {
                self.applied_index = reply.applied_index;
                self.stamp = Some(reply.stamp);
            }
        }
    }

    /// Records that the peer's log matches up to `index`.
    pub(super) fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.mode {
            Mode::Replicate { in_flight } => {
                let done = in_flight.partition_point(|last| *last <= index);
                in_flight.drain(..done);
            }
            Mode::Snapshot { snapshot, .. } if index < snapshot.index => {}
            Mode::Probe { .. } | Mode::Snapshot { .. } => {
                self.mode = Mode::Replicate {
                    in_flight: VecDeque::new(),
                };
            }
        }
    }

    /// Records that the peer's log matches up to `index` at most. `last_index` is the
    /// last index of the leader's log.
    pub(super) fn record_conflict(&mut self, index: u64, last_index: u64) {
        if let Mode::Snapshot { snapshot, bytes } = &self.mode
            && *bytes < snapshot.data.len() as u64
        {
            return;
        }
        // A data folder still has what it acknowledged: the peer went back too far, or
        // the reply arrived out of order. A folder that lost acknowledged entries detects
        // that itself (`Heartbeat::acked`). A learner without a folder may have restarted.
        let index = match self.incarnation {
            Some(_) => index.max(self.match_index),
            None => index,
        };
        self.match_index = self.match_index.min(index);
        self.next_index = index.min(last_index) + 1;
        self.mode = Mode::Probe {
            awaiting_reply: false,
        };
    }

    /// Records how much of the snapshot the peer has; returns whether to send the next
    /// chunk.
    pub(super) fn record_received(&mut self, snapshot_index: u64, received: u64) -> bool {
        match &mut self.mode {
            Mode::Snapshot { snapshot, bytes } if snapshot.index == snapshot_index => {
                let total = snapshot.data.len() as u64;
                let is_new = *bytes != received && received < total;
                *bytes = received.min(total);
                is_new
            }
            Mode::Probe { .. } | Mode::Replicate { .. } | Mode::Snapshot { .. } => false,
        }
    }

    /// Returns whether entries may be sent to the peer now.
    pub(super) fn can_send(&self) -> bool {
        match &self.mode {
            Mode::Probe { awaiting_reply } => !awaiting_reply,
            Mode::Replicate { in_flight } => in_flight.len() < MAX_IN_FLIGHT_BATCHES,
            Mode::Snapshot { .. } => false,
        }
    }

    /// Records that entries up to `last` were sent.
    pub(super) fn record_sent(&mut self, last: u64) {
        match &mut self.mode {
            Mode::Probe { awaiting_reply } => *awaiting_reply = true,
            Mode::Replicate { in_flight } => {
                in_flight.push_back(last);
                self.next_index = last + 1;
            }
            Mode::Snapshot { .. } => {}
        }
    }
}
