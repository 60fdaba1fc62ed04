use std::collections::VecDeque;
use std::sync::Arc;

use super::{Reply, Snapshot, Stamp};

/// Batches under way to one peer at a time. Enough to keep a link of a few
/// milliseconds busy; more would only lengthen what is sent in vain to a dead peer.
const IN_FLIGHT_MAX: usize = 8;

/// How far a leader knows one peer to be.
#[derive(Debug)]
pub(super) struct Progress {
    /// The data folder that answers for the peer.
    pub(super) incarnation: Option<u64>,
    /// The last index that it acknowledged.
    pub(super) match_index: u64,
    /// The next index to send.
    pub(super) next_index: u64,
    /// The highest index it said it applied.
    pub(super) applied_index: u64,
    /// The latest message of this leader that it answered, by when it was sent.
    pub(super) echo_ms: Option<u64>,
    /// The latest stamp heard from it.
    pub(super) stamp: Option<Stamp>,
    /// When the view lease granted last ends, on the leader's clock.
    pub(super) lease_end_ms: u64,
    /// When something was sent to it last.
    pub(super) sent_ms: u64,
    /// The commit index it was told last.
    pub(super) commit_told: u64,
    pub(super) mode: Mode,
}

/// How entries are sent to a peer.
#[derive(Debug)]
pub(super) enum Mode {
    /// Where its log matches is not known: one message at a time.
    Probe {
        /// Whether that message is under way.
        waiting: bool,
    },
    /// Batches go out ahead of the answers.
    Replicate {
        /// The last index of each batch under way.
        in_flight: VecDeque<u64>,
    },
    /// It gets a snapshot, piece by piece.
    Snapshot {
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// Bytes it has.
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
            commit_told: 0,
            mode: Mode::Probe { waiting: false },
        }
    }

    /// Notes who answered and when. An answer of another data folder voids what
    /// was acknowledged before.
    pub(super) fn heard(&mut self, now_ms: u64, reply: &Reply) {
        if self.incarnation != reply.incarnation {
            self.incarnation = reply.incarnation;
            self.match_index = 0;
            self.mode = Mode::Probe { waiting: false };
        }
        self.echo_ms = self.echo_ms.max(Some(reply.echo_ms.min(now_ms)));
        match self.stamp {
            Some(stamp) if stamp.start == reply.stamp.start => {
                self.applied_index = self.applied_index.max(reply.applied_index);
                let at_ms = stamp.at_ms.max(reply.stamp.at_ms);
                self.stamp = Some(Stamp { at_ms, ..stamp });
            }
            _ => {
                self.applied_index = reply.applied_index;
                self.stamp = Some(reply.stamp);
            }
        }
    }

    /// The peer's log matches up to `index`.
    pub(super) fn matched(&mut self, index: u64) {
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

    /// The peer's log can match at `index` at most; `last_index` is the leader's.
    pub(super) fn conflict(&mut self, index: u64, last_index: u64) {
        if let Mode::Snapshot { snapshot, bytes } = &self.mode
            && *bytes < snapshot.data.len() as u64
        {
            return;
        }
        // What a folder acknowledged it still has: it went back too far, or its
        // answer was overtaken on the way. A folder that lost it finds that out by
        // itself (`Beat::acked`). A learner without one may have restarted.
        let index = match self.incarnation {
            Some(_) => index.max(self.match_index),
            None => index,
        };
        self.match_index = self.match_index.min(index);
        self.next_index = index.min(last_index) + 1;
        self.mode = Mode::Probe { waiting: false };
    }

    /// The peer has this much of the snapshot; whether the next piece is due.
    pub(super) fn received(&mut self, of_index: u64, received: u64) -> bool {
        match &mut self.mode {
            Mode::Snapshot { snapshot, bytes } if snapshot.index == of_index => {
                let total = snapshot.data.len() as u64;
                let news = *bytes != received && received < total;
                *bytes = received.min(total);
                news
            }
            Mode::Probe { .. } | Mode::Replicate { .. } | Mode::Snapshot { .. } => false,
        }
    }

    /// Whether entries may be sent now.
    pub(super) fn may_send(&self) -> bool {
        match &self.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Replicate { in_flight } => in_flight.len() < IN_FLIGHT_MAX,
            Mode::Snapshot { .. } => false,
        }
    }

    /// Entries up to `last` were sent.
    pub(super) fn sent(&mut self, last: u64) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = true,
            Mode::Replicate { in_flight } => {
                in_flight.push_back(last);
                self.next_index = last + 1;
            }
            Mode::Snapshot { .. } => {}
        }
    }
}
