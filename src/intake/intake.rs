use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::Client;
use crate::places::Place;

/// Time without a byte from a client after which it may be evicted. It is longer than the
/// retransmission of a lost segment takes.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// What a listener is short of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Places for connections of this listener.
    Places(&'static str),
    /// Memory for requests.
    Memory,
}

/// What clients make a process hold, on all of its listeners.
#[derive(Debug)]
pub struct Intake {
    limit_bytes: usize,
    held_bytes: AtomicUsize,
    freed: Notify,
    last_id: AtomicU64,
    clients: Mutex<BTreeMap<u64, Weak<Client>>>,
}

impl Intake {
    /// Creates an account of at most `limit_bytes` for requests, beside what the places of their
    /// connections cover.
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            limit_bytes,
            held_bytes: AtomicUsize::new(0),
            freed: Notify::new(),
            last_id: AtomicU64::new(0),
            clients: Mutex::default(),
        })
    }

    /// Returns the bytes that requests hold now.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Opens the account of a connection. It keeps its place until the last request of the
    /// connection is done.
    pub fn open(
        self: &Arc<Self>,
        now: Instant,
        listener: &'static str,
        place: Option<Place>,
    ) -> Arc<Client> {
        let id = self.last_id.fetch_add(1, Ordering::Relaxed);
        let client = Arc::new(Client::new(Arc::clone(self), id, listener, place, now));
        self.clients().insert(id, Arc::downgrade(&client));
        client
    }

    /// Evicts the client that has kept the process waiting for longest and holds what is short.
    /// Returns whether there is one that has stalled.
    pub fn evict(&self, now: Instant, shortage: Shortage) -> bool {
        let clients: Vec<_> = self.clients().values().filter_map(Weak::upgrade).collect();
        let stalled = clients.iter().filter_map(|client| {
            let since = client.evictable_since(shortage)?;
            (now.saturating_duration_since(since) >= STALL_TIMEOUT).then_some((since, client))
        });
        let Some((since, client)) = stalled.min_by_key(|(since, _)| *since) else {
            return false;
        };
        if !client.evict() {
            return false;
        }
        tracing::info!(
            listener = client.listener(),
            ?shortage,
            held_bytes = self.held_bytes(),
            stalled_ms = now.saturating_duration_since(since).as_millis() as u64,
            "intake: a stalled client is evicted"
        );
        true
    }

    /// Returns what is notified when memory or a place may have become free.
    pub(crate) fn freed(&self) -> &Notify {
        &self.freed
    }

    pub(super) fn take(&self, bytes: usize) -> bool {
        let taken = self
            .held_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                held.checked_add(bytes)
                    .filter(|sum| *sum <= self.limit_bytes)
            });
        taken.is_ok()
    }

    pub(super) fn give_back(&self, bytes: usize) {
        if bytes > 0 {
            self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.freed.notify_waiters();
        }
    }

    pub(super) fn close(&self, id: u64) {
        self.clients().remove(&id);
    }

    /// Locks the table. A poisoned lock is safe to use because each change is a single step.
    fn clients(&self) -> MutexGuard<'_, BTreeMap<u64, Weak<Client>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
