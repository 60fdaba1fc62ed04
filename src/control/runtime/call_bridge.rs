use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::{mpsc, oneshot};

use crate::control::{Answer, Call, Metrics, QuorumStatus};
use crate::intake::Hold;
use crate::model::EntryName;

/// Connects an instance's listeners with its event loop: listeners submit calls and await
/// their answers.
///
/// Listeners and the loop run in one thread; the lock is never held across an await.
#[derive(Debug)]
pub struct CallBridge {
    calls: mpsc::UnboundedSender<Incoming>,
    open: Mutex<OpenCalls>,
    listener_status: Mutex<ListenerStatus>,
    quorum_status: Mutex<Option<QuorumStatus>>,
    metrics: Metrics,
}

/// A call that is queued for the event loop.
#[derive(Debug)]
pub struct Incoming {
    /// The id that the answer repeats.
    pub id: u64,
    /// The call.
    pub call: Call,
    /// How long its caller waits, in milliseconds.
    pub patience_ms: u64,
}

/// Status that the event loop publishes to the listeners.
#[derive(Clone, Debug, Default)]
pub struct ListenerStatus {
    /// The control instances to which workers should send their reports.
    pub report_places: Vec<EntryName>,
    /// Whether the instance is ready for new callers.
    pub ready: bool,
}

#[derive(Debug, Default)]
struct OpenCalls {
    next_id: u64,
    answers: HashMap<u64, OpenCall>,
    /// Open calls whose callers have left since [`CallBridge::take_left`].
    left: HashSet<u64>,
}

impl OpenCalls {
    fn remove(&mut self, id: u64) -> Option<OpenCall> {
        self.left.remove(&id);
        self.answers.remove(&id)
    }
}

#[derive(Debug)]
struct OpenCall {
    caller: oneshot::Sender<(Answer, Hold)>,
    /// What the call makes the process hold until it is answered, also if its caller leaves.
    hold: Hold,
}

impl CallBridge {
    /// Creates a bridge and the receiver of its calls. `first_id` must differ from start to
    /// start, so that a late answer to a call of an earlier start matches no call of this
    /// one.
    pub fn new(first_id: u64) -> (Arc<Self>, mpsc::UnboundedReceiver<Incoming>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let open = OpenCalls {
            next_id: first_id,
            answers: HashMap::new(),
            left: HashSet::new(),
        };
        let bridge = Self {
            calls: tx,
            open: Mutex::new(open),
            listener_status: Mutex::default(),
            quorum_status: Mutex::default(),
            metrics: Metrics::default(),
        };
        (Arc::new(bridge), rx)
    }

    /// Submits a call and waits for its answer. Returns also what the call holds; `None` if
    /// that is gone, because the instance ends.
    pub async fn call(&self, call: Call, patience_ms: u64, hold: Hold) -> (Answer, Option<Hold>) {
        let began = Instant::now();
        let (tx, rx) = oneshot::channel();
        let id = {
            let mut open = lock(&self.open);
            open.next_id += 1;
            let id = open.next_id;
            open.answers.insert(id, OpenCall { caller: tx, hold });
            id
        };
        let incoming = Incoming {
            id,
            call,
            patience_ms,
        };
        if self.calls.send(incoming).is_err() {
            return (Answer::Unknown, None);
        }
        let caller = Caller { bridge: self, id };
        // The loop ends without an answer only when the process ends.
        let answered = rx.await;
        caller.stay();
        let (answer, hold) = match answered {
            Ok((answer, hold)) => (answer, Some(hold)),
            Err(_) => (Answer::Unknown, None),
        };
        self.metrics
            .record_answer(&answer, began.elapsed().as_secs_f64());
        (answer, hold)
    }

    /// Answers a call. Its caller may have left already.
    pub fn answer(&self, id: u64, answer: Answer) {
        let open = lock(&self.open).remove(id);
        if let Some(OpenCall { caller, hold }) = open
            && caller.send((answer, hold)).is_err()
        {
            tracing::debug!(id, "calls: the caller left before its answer");
        }
    }

    /// Takes the open calls whose callers have left, which drops the futures of
    /// [`Self::call`].
    pub fn take_left(&self) -> Vec<u64> {
        let left = std::mem::take(&mut lock(&self.open).left);
        left.into_iter().collect()
    }

    /// Answers all open calls with [`Answer::Unknown`] because the instance stops.
    ///
    /// Otherwise the connections of callers without an answer would break at the end of a
    /// planned stop, which callers cannot distinguish from a crash.
    pub fn abandon_calls(&self) {
        let waiting = std::mem::take(&mut lock(&self.open).answers);
        if !waiting.is_empty() {
            tracing::info!(
                calls = waiting.len(),
                "calls: open calls are given up at a planned stop"
            );
        }
        for OpenCall { caller, hold } in waiting.into_values() {
            // A caller that left needs no answer.
            let _ = caller.send((Answer::Unknown, hold));
        }
    }

    /// Returns the number of open calls.
    pub fn waiting(&self) -> usize {
        lock(&self.open).answers.len()
    }

    /// Returns the instance's counters and latencies.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the status that the event loop last published.
    pub fn listener_status(&self) -> ListenerStatus {
        lock(&self.listener_status).clone()
    }

    /// Returns what a control instance last published about the voters; `None` on an entry
    /// instance.
    pub fn quorum_status(&self) -> Option<QuorumStatus> {
        lock(&self.quorum_status).clone()
    }

    /// Publishes what a control instance knows about the voters.
    pub fn show_quorum(&self, status: QuorumStatus) {
        self.metrics.set_quorum(&status);
        *lock(&self.quorum_status) = Some(status);
    }

    /// Publishes a status to the listeners.
    pub fn show(&self, listener_status: ListenerStatus) {
        *lock(&self.listener_status) = listener_status;
    }
}

/// The caller of an open call. Dropped before the answer, it is recorded as having left.
struct Caller<'a> {
    bridge: &'a CallBridge,
    id: u64,
}

impl Caller<'_> {
    fn stay(self) {
        std::mem::forget(self);
    }
}

impl Drop for Caller<'_> {
    fn drop(&mut self) {
        let mut open = lock(&self.bridge.open);
        if open.answers.contains_key(&self.id) {
            open.left.insert(self.id);
        }
    }
}

/// Locks a mutex, also after a panic: each change of the maps is a single operation, so a
/// panic elsewhere leaves them consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
