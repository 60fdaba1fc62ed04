use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// Questions handed to the node that wait for their answers.
#[derive(Debug)]
pub(super) struct Waiting<A> {
    next: AtomicU64,
    open: Mutex<BTreeMap<u64, oneshot::Sender<A>>>,
}

impl<A> Default for Waiting<A> {
    fn default() -> Self {
        Self {
            next: AtomicU64::new(1),
            open: Mutex::default(),
        }
    }
}

impl<A> Waiting<A> {
    /// A new question's id and where its answer comes.
    pub fn open(&self) -> (u64, oneshot::Receiver<A>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.lock().insert(id, tx);
        (id, rx)
    }

    /// Passes an answer on, if someone still waits for it.
    pub fn answer(&self, id: u64, answer: A) {
        if let Some(waiting) = self.lock().remove(&id) {
            // The one who asked may have gone a moment ago.
            let _ = waiting.send(answer);
        }
    }

    /// Nobody waits for the answer any more.
    pub fn forget(&self, id: u64) {
        self.lock().remove(&id);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<A>>> {
        // A panic while the map was held leaves it whole: it is only inserted
        // into and removed from.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
