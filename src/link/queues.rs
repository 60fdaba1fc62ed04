use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc;

use crate::model::EntryName;

/// Frames that may wait for one peer. More means that the peer does not keep up
/// or is cut off, and what is waiting is old.
const QUEUE_FRAMES: usize = 1024;

/// An encoded frame.
pub(super) type Frame = Vec<u8>;

/// Where frames for each peer wait to be sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Queues(Arc<Mutex<BTreeMap<EntryName, Queue>>>);

#[derive(Debug)]
struct Queue {
    frames: mpsc::Sender<Frame>,
    /// The incoming connection that they leave by; none for a link opened from here.
    accepted: Option<u64>,
}

/// What became of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Queued {
    /// It waits for its turn.
    Waits,
    /// Too many wait already.
    Full,
    /// There is no link to the peer.
    NoLink,
}

impl Queues {
    /// Queues a frame if there is a link to the peer.
    pub fn push(&self, to: &EntryName, frame: Frame) -> Queued {
        let queues = self.lock();
        let Some(queue) = queues.get(to) else {
            return Queued::NoLink;
        };
        match queue.frames.try_send(frame) {
            Ok(()) => Queued::Waits,
            Err(mpsc::error::TrySendError::Full(_)) => Queued::Full,
            Err(mpsc::error::TrySendError::Closed(_)) => Queued::NoLink,
        }
    }

    /// Whether there is a link to the peer, or one that is coming up.
    pub fn has(&self, to: &EntryName) -> bool {
        let queues = self.lock();
        queues.get(to).is_some_and(|q| !q.frames.is_closed())
    }

    /// A queue for a link that is opened from here; none if there are `limit` of these.
    pub fn open(&self, to: &EntryName, limit: usize) -> Option<mpsc::Receiver<Frame>> {
        let mut queues = self.lock();
        queues.retain(|_, queue| !queue.frames.is_closed());
        if queues.values().filter(|q| q.accepted.is_none()).count() >= limit {
            return None;
        }
        let (frames, queued) = mpsc::channel(QUEUE_FRAMES);
        let accepted = None;
        queues.insert(to.clone(), Queue { frames, accepted });
        Some(queued)
    }

    /// A queue for what goes back on an incoming link, which is used from now on.
    pub fn accepted(&self, from: &EntryName, id: u64) -> mpsc::Receiver<Frame> {
        let (frames, queued) = mpsc::channel(QUEUE_FRAMES);
        let accepted = Some(id);
        self.lock().insert(from.clone(), Queue { frames, accepted });
        queued
    }

    /// An incoming link is over.
    pub fn ended(&self, from: &EntryName, id: u64) {
        let mut queues = self.lock();
        if queues.get(from).is_some_and(|q| q.accepted == Some(id)) {
            queues.remove(from);
        }
    }

    /// How many links are opened from here.
    pub fn outgoing(&self) -> usize {
        let queues = self.lock();
        let outgoing = queues.values().filter(|q| q.accepted.is_none());
        outgoing.filter(|q| !q.frames.is_closed()).count()
    }

    /// Closes all.
    pub fn close(&self) {
        self.lock().clear();
    }

    /// A panic elsewhere leaves the map whole: each change is one step.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<EntryName, Queue>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
