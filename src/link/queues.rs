use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::model::EntryName;

/// Maximum number of frames queued for one peer. A longer queue means that the peer is
/// too slow or unreachable, and that the queued frames are out of date.
const MAX_QUEUED_FRAMES: usize = 1024;

/// Maximum size of the frames queued for one peer. A frame has 4 MiB at most, a message of the
/// log 1 MiB.
const MAX_QUEUED_BYTES: usize = 16 << 20;

/// An encoded message that waits to be sent.
#[derive(Debug, derive_more::Deref)]
pub(super) struct Frame {
    #[deref(forward)]
    bytes: Vec<u8>,
    /// Its part of the queue's size; `None` for one that was never queued.
    _room: Option<OwnedSemaphorePermit>,
}

impl From<Vec<u8>> for Frame {
    fn from(bytes: Vec<u8>) -> Self {
        Self { bytes, _room: None }
    }
}

/// The send queues, one for each peer that has a link.
#[derive(Clone, Debug, Default)]
pub(super) struct Queues(Arc<Mutex<BTreeMap<EntryName, Queue>>>);

#[derive(Debug)]
struct Queue {
    frames: mpsc::Sender<Frame>,
    /// Bytes that may still be queued.
    room: Arc<Semaphore>,
    /// Id of the incoming connection that the frames are sent on, or `None` for a link that
    /// this instance opened.
    connection_id: Option<u64>,
}

impl Queue {
    fn new(connection_id: Option<u64>) -> (Self, mpsc::Receiver<Frame>) {
        let (frames, queued) = mpsc::channel(MAX_QUEUED_FRAMES);
        let queue = Self {
            frames,
            room: Arc::new(Semaphore::new(MAX_QUEUED_BYTES)),
            connection_id,
        };
        (queue, queued)
    }
}

/// Result of queueing a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PushOutcome {
    /// The frame is queued.
    Accepted,
    /// The queue is full.
    Full,
    /// There is no link to the peer.
    NoLink,
}

impl Queues {
    /// Queues a frame if there is a link to the peer.
    pub fn push(&self, to: &EntryName, bytes: Vec<u8>) -> PushOutcome {
        let queues = self.lock();
        let Some(queue) = queues.get(to) else {
            return PushOutcome::NoLink;
        };
        let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let Ok(room) = Arc::clone(&queue.room).try_acquire_many_owned(length) else {
            return PushOutcome::Full;
        };
        let frame = Frame {
            bytes,
            _room: Some(room),
        };
        match queue.frames.try_send(frame) {
            Ok(()) => PushOutcome::Accepted,
            Err(mpsc::error::TrySendError::Full(_)) => PushOutcome::Full,
            Err(mpsc::error::TrySendError::Closed(_)) => PushOutcome::NoLink,
        }
    }

    /// Returns whether there is a link to the peer, established or connecting.
    pub fn has_link(&self, to: &EntryName) -> bool {
        let queues = self.lock();
        queues.get(to).is_some_and(|q| !q.frames.is_closed())
    }

    /// Creates the queue of an outgoing link. Returns `None` if `limit` outgoing links exist.
    pub fn open_outgoing(&self, to: &EntryName, limit: usize) -> Option<mpsc::Receiver<Frame>> {
        let mut queues = self.lock();
        queues.retain(|_, queue| !queue.frames.is_closed());
        if queues
            .values()
            .filter(|q| q.connection_id.is_none())
            .count()
            >= limit
        {
            return None;
        }
        let (queue, queued) = Queue::new(None);
        queues.insert(to.clone(), queue);
        Some(queued)
    }

    /// Creates the queue for frames sent back on an incoming link. It replaces the peer's
    /// previous queue.
    pub fn open_incoming(&self, from: &EntryName, id: u64) -> mpsc::Receiver<Frame> {
        let (queue, queued) = Queue::new(Some(id));
        self.lock().insert(from.clone(), queue);
        queued
    }

    /// Removes the queue of an incoming link that ended, unless a newer one replaced it.
    pub fn close_incoming(&self, from: &EntryName, id: u64) {
        let mut queues = self.lock();
        if queues
            .get(from)
            .is_some_and(|q| q.connection_id == Some(id))
        {
            queues.remove(from);
        }
    }

    /// Returns the number of links that this instance opened.
    pub fn outgoing_count(&self) -> usize {
        let queues = self.lock();
        let outgoing = queues.values().filter(|q| q.connection_id.is_none());
        outgoing.filter(|q| !q.frames.is_closed()).count()
    }

    /// Closes all queues.
    pub fn close_all(&self) {
        self.lock().clear();
    }

    /// Locks the map. A poisoned lock is safe to use because each change is a single step.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<EntryName, Queue>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
