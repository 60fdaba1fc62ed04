use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use super::{Hold, Intake, ORDINARY_REQUEST_BYTES, Shortage};
use crate::places::Place;

/// The account of one connection.
#[derive(Debug)]
pub struct Client {
    intake: Arc<Intake>,
    id: u64,
    listener: &'static str,
    place: Option<Place>,
    state: Mutex<State>,
    evicted: Notify,
    discards: AtomicBool,
}

#[derive(Debug)]
struct State {
    /// Whether the process works on its request, and not it on the next one.
    is_served: bool,
    is_evicted: bool,
    /// When it last sent or took a byte.
    progress: Instant,
    held_bytes: usize,
}

impl Client {
    pub(super) fn new(
        intake: Arc<Intake>,
        id: u64,
        listener: &'static str,
        place: Option<Place>,
        now: Instant,
    ) -> Self {
        Self {
            intake,
            id,
            listener,
            place,
            state: Mutex::new(State {
                is_served: false,
                is_evicted: false,
                progress: now,
                held_bytes: 0,
            }),
            evicted: Notify::new(),
            discards: AtomicBool::new(false),
        }
    }

    /// Returns the name of its listener.
    pub fn listener(&self) -> &'static str {
        self.listener
    }

    /// Returns the account that it belongs to.
    pub fn intake(&self) -> &Arc<Intake> {
        &self.intake
    }

    /// Begins a request, which holds nothing yet.
    pub fn hold(self: &Arc<Self>) -> Hold {
        let covered_bytes = match self.place {
            Some(_) => ORDINARY_REQUEST_BYTES,
            None => 0,
        };
        Hold::new(Arc::clone(self), covered_bytes)
    }

    /// Records that it sent or took a byte.
    pub fn record_progress(&self, now: Instant) {
        self.state().progress = now;
    }

    /// Records that the process begins to work on its request. It is not evicted until
    /// [`Self::end_serving`]. Returns `false` if it is evicted already.
    #[must_use]
    pub fn begin_serving(&self) -> bool {
        let mut state = self.state();
        state.is_served = !state.is_evicted;
        state.is_served
    }

    /// Records that its request is done.
    pub fn end_serving(&self, now: Instant) {
        let mut state = self.state();
        state.is_served = false;
        state.progress = now;
    }

    /// Records that it is refused: the rest of what it sends is discarded.
    pub fn discard(&self) {
        self.discards.store(true, Ordering::Relaxed);
    }

    /// Returns whether it is refused.
    pub fn discards(&self) -> bool {
        self.discards.load(Ordering::Relaxed)
    }

    /// Completes when it is evicted.
    pub async fn evicted(&self) {
        let evicted = self.evicted.notified();
        let mut evicted = std::pin::pin!(evicted);
        evicted.as_mut().enable();
        if !self.is_evicted() {
            evicted.await;
        }
    }

    /// Evicts it, unless its request is served by now. Returns whether it is evicted.
    pub(super) fn evict(&self) -> bool {
        let is_evicted = {
            let mut state = self.state();
            state.is_evicted |= !state.is_served;
            state.is_evicted
        };
        if is_evicted {
            self.evicted.notify_waiters();
        }
        is_evicted
    }

    fn is_evicted(&self) -> bool {
        self.state().is_evicted
    }

    /// Returns since when it has kept the process waiting; `None` if it does not, or if its end
    /// does not help against the shortage.
    pub(super) fn evictable_since(&self, shortage: Shortage) -> Option<Instant> {
        let state = self.state();
        let helps = match shortage {
            Shortage::Places(listener) => self.listener == listener && self.place.is_some(),
            Shortage::Memory => state.held_bytes > 0,
        };
        (helps && !state.is_served && !state.is_evicted).then_some(state.progress)
    }

    /// Changes what its requests hold from `old` to `new` bytes. Returns `false`, and changes
    /// nothing, if there is no room.
    pub(super) fn resize(&self, old: usize, new: usize) -> bool {
        if new > old && !self.intake.take(new - old) {
            return false;
        }
        self.intake.give_back(old.saturating_sub(new));
        let mut state = self.state();
        state.held_bytes = state.held_bytes + new - old;
        true
    }

    /// Locks the state. A poisoned lock is safe to use because each change is a single step.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.intake.close(self.id);
        // The place is dropped after this, and its waiter runs later on the same thread or
        // waits for the place itself.
        self.intake.freed().notify_waiters();
    }
}
