use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::{mpsc, oneshot};

use super::{Answer, Call, Metrics};
use crate::model::EntryName;

/// Where an instance's listeners hand in calls and wait for their answers.
///
/// Calls and the loop that answers them run in one thread; the lock is never held
/// across a wait.
#[derive(Debug)]
pub struct Desk {
    calls: mpsc::UnboundedSender<Incoming>,
    open: Mutex<Open>,
    board: Mutex<Board>,
    metrics: Metrics,
}

/// A call on its way to the loop.
#[derive(Debug)]
pub struct Incoming {
    /// Names it in the answer.
    pub id: u64,
    /// The call.
    pub call: Call,
    /// How long its caller waits.
    pub patience_ms: u64,
}

/// What the loop lets listeners know.
#[derive(Clone, Debug, Default)]
pub struct Board {
    /// Where workers should report.
    pub report_places: Vec<EntryName>,
    /// Whether new callers are welcome.
    pub ready: bool,
}

#[derive(Debug, Default)]
struct Open {
    next_id: u64,
    answers: HashMap<u64, oneshot::Sender<Answer>>,
}

impl Desk {
    /// A desk and where its calls come out. `first_id` must differ from start to
    /// start, so that an answer to an earlier start's call names no call of this.
    pub fn new(first_id: u64) -> (Arc<Self>, mpsc::UnboundedReceiver<Incoming>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let open = Open {
            next_id: first_id,
            answers: HashMap::new(),
        };
        let desk = Self {
            calls: tx,
            open: Mutex::new(open),
            board: Mutex::default(),
            metrics: Metrics::default(),
        };
        (Arc::new(desk), rx)
    }

    /// Hands in a call and waits for its answer.
    pub async fn call(&self, call: Call, patience_ms: u64) -> Answer {
        let began = Instant::now();
        let (tx, rx) = oneshot::channel();
        let id = {
            let mut open = lock(&self.open);
            open.next_id += 1;
            let id = open.next_id;
            open.answers.insert(id, tx);
            id
        };
        let incoming = Incoming {
            id,
            call,
            patience_ms,
        };
        if self.calls.send(incoming).is_err() {
            return Answer::Unknown;
        }
        // The loop ends without an answer only when the process does.
        let answer = rx.await.unwrap_or(Answer::Unknown);
        self.metrics
            .answered(&answer, began.elapsed().as_secs_f64());
        answer
    }

    /// Answers a call; nobody may wait for it any more.
    pub fn answer(&self, id: u64, answer: Answer) {
        if let Some(waiting) = lock(&self.open).answers.remove(&id)
            && waiting.send(answer).is_err()
        {
            tracing::debug!(id, "desk: the caller left before its answer");
        }
    }

    /// Answers all calls that wait: the instance stops and will not answer them.
    ///
    /// Without this the connections of callers whom no leader answered in time break
    /// off at the end of a planned stop, and they cannot tell it from a crash.
    pub fn give_up(&self) {
        let waiting = std::mem::take(&mut lock(&self.open).answers);
        if !waiting.is_empty() {
            tracing::info!(calls = waiting.len(), "desk: calls are given up at a stop");
        }
        for caller in waiting.into_values() {
            // One that left needs no answer.
            let _ = caller.send(Answer::Unknown);
        }
    }

    /// How many calls wait.
    pub fn waiting(&self) -> usize {
        lock(&self.open).answers.len()
    }

    /// The instance's counters and latencies.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// What the loop last let know.
    pub fn board(&self) -> Board {
        lock(&self.board).clone()
    }

    /// Lets listeners know.
    pub fn show(&self, board: Board) {
        *lock(&self.board) = board;
    }
}

/// A panic elsewhere leaves the maps whole: each change is one step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
