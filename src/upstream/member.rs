use std::collections::BTreeMap;
use std::sync::mpsc::Sender;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::{Notify, oneshot};

use super::Worker;

/// One instance inside a host: its worker, and what reaches its tasks.
#[derive(Debug)]
pub(super) struct Member {
    worker: Mutex<Worker>,
    /// Wakes the task that owns the instance's listener.
    pub(super) changed: Notify,
    /// Ends running requests with a checkpoint, by request id and attempt.
    stops: Mutex<BTreeMap<(String, u64), oneshot::Sender<()>>>,
    /// Each makes one announcer announce at once; dropped, the announcer ends.
    announcers: Mutex<Vec<Sender<()>>>,
}

impl Member {
    pub(super) fn new(worker: Worker) -> Self {
        Self {
            worker: Mutex::new(worker),
            changed: Notify::new(),
            stops: Mutex::default(),
            announcers: Mutex::default(),
        }
    }

    pub(super) fn worker(&self) -> MutexGuard<'_, Worker> {
        lock(&self.worker)
    }

    pub(super) fn add_announcer(&self, announcer: Sender<()>) {
        lock(&self.announcers).push(announcer);
    }

    /// Announces to every entry instance without waiting for the next refresh.
    pub(super) fn announce_now(&self) {
        for announcer in lock(&self.announcers).iter() {
            // An announcer that is gone has nothing left to say.
            let _ = announcer.send(());
        }
    }

    pub(super) fn end_announcers(&self) {
        lock(&self.announcers).clear();
    }

    pub(super) fn leave(&self, now_ms: u64) {
        self.worker().leave(now_ms);
        self.announce_now();
        self.changed.notify_one();
    }

    pub(super) fn watch_stop(&self, request: &str, attempt: u64) -> oneshot::Receiver<()> {
        let (tx, rx) = oneshot::channel();
        lock(&self.stops).insert((request.to_owned(), attempt), tx);
        rx
    }

    pub(super) fn forget_stop(&self, request: &str, attempt: u64) {
        lock(&self.stops).remove(&(request.to_owned(), attempt));
    }

    /// Stops a running attempt; false if it does not run here.
    pub(super) fn stop(&self, request: &str, attempt: u64) -> bool {
        lock(&self.stops)
            .remove(&(request.to_owned(), attempt))
            .is_some_and(|tx| tx.send(()).is_ok())
    }
}

/// Locks, also after a panic elsewhere: a stand-in's figures stay readable.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
