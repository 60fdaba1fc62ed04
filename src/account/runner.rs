use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::model::Class;
use crate::upstream::RunRecord;

use super::{Answer, Client, Error, Latency, Ledger, Plan, PlannedRequest, SentRequest};

/// Delay before a request whose answer was lost is sent again.
const RESEND_DELAY_MS: u64 = 100;

/// Number of threads that poll patient jobs; one poll takes well under a millisecond.
const POLLER_THREADS: usize = 8;

/// Stack size of a thread. It is small because thousands of senders wait at once.
const STACK_BYTES: usize = 256 * 1024;

/// Configuration of a load experiment.
#[derive(Debug)]
pub struct Experiment {
    /// Requests to send.
    pub plan: Plan,
    /// Addresses of the entry instances' caller ports.
    pub entries: Vec<String>,
    /// Whether no earlier experiment sent the same keys.
    pub keys_are_new: bool,
    /// Deadline of urgent requests in milliseconds.
    pub deadline_ms: u64,
    /// Deadline of patient requests in milliseconds.
    pub patient_deadline_ms: u64,
    /// Maximum number of times a request is sent again after a lost answer.
    pub resends: u32,
    /// Number of sending threads, which bounds the requests in flight.
    pub threads: usize,
    /// Time after the last answer within which patient jobs may still finish, in
    /// milliseconds.
    pub settle_ms: u64,
    /// Interval at which a patient job is polled, in milliseconds.
    pub poll_ms: u64,
}

/// Results of an experiment.
#[derive(Debug)]
pub struct Outcome {
    /// Requests and the answers that callers got.
    pub ledger: Ledger,
    /// Latencies by class and kind of answer.
    pub latency: Latency,
    /// Requests sent more than 10 ms late because all threads were busy.
    pub sent_late: u64,
    /// Time from the start until all sending threads have ended, in milliseconds.
    pub took_ms: u64,
}

/// Delay above which a request counts as sent late: well above the wake-up delay of a
/// thread on a busy machine, and well below what matters for a deadline.
const SENT_LATE_US: u64 = 10_000;

/// An accepted patient job that is polled.
struct Job {
    number: u64,
    location: String,
    next_poll: Instant,
    request_due: Instant,
}

struct Shared {
    experiment: Experiment,
    client: Client,
    start: Instant,
    plan: Mutex<Plan>,
    ledger: Mutex<Ledger>,
    latency: Mutex<Latency>,
    sent_late: Mutex<u64>,
    /// Accepted jobs in the order of their next poll; the order holds because each is
    /// put back with the same delay.
    jobs: Mutex<VecDeque<Job>>,
    stop_polling: AtomicBool,
}

impl Experiment {
    /// Sends the planned requests and waits for the answers.
    ///
    /// # Errors
    /// Returns an error if a thread could not be started.
    pub fn run(self) -> Result<Outcome, Error> {
        let threads = self.threads.max(1);
        let settle_ms = self.settle_ms;
        let shared = Shared {
            client: Client::new(self.entries.clone(), self.keys_are_new),
            plan: Mutex::new(self.plan.clone()),
            experiment: self,
            start: Instant::now(),
            ledger: Mutex::default(),
            latency: Mutex::default(),
            sent_late: Mutex::default(),
            jobs: Mutex::default(),
            stop_polling: AtomicBool::new(false),
        };
        let took_ms = thread::scope(|scope| {
            for _ in 0..POLLER_THREADS {
                thread_builder().spawn_scoped(scope, || shared.poll_loop())?;
            }
            let senders = (0..threads)
                .map(|_| thread_builder().spawn_scoped(scope, || shared.send_loop()))
                .collect::<Result<Vec<_>, _>>();
            // The pollers end only on this flag, so it must also be set if a sender could
            // not be started.
            let senders =
                senders.inspect_err(|_| shared.stop_polling.store(true, Ordering::Relaxed))?;
            for sender in senders {
                // A sender that panicked leaves its request without a final answer, so
                // that it counts as lost.
                let _ = sender.join();
            }
            let took_ms = shared.start.elapsed().as_millis();
            shared.settle(settle_ms);
            Ok::<_, Error>(u64::try_from(took_ms).unwrap_or(u64::MAX))
        })?;
        Ok(Outcome {
            ledger: into_inner(shared.ledger),
            latency: into_inner(shared.latency),
            sent_late: into_inner(shared.sent_late),
            took_ms,
        })
    }
}

impl Shared {
    fn send_loop(&self) {
        loop {
            let Some(planned) = lock(&self.plan).next() else {
                return;
            };
            let due = self.start + Duration::from_micros(planned.due_us);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if due.elapsed() > Duration::from_micros(SENT_LATE_US) {
                *lock(&self.sent_late) += 1;
            }
            let sha = hex_encode(&Sha256::digest(planned.body.as_bytes()));
            lock(&self.ledger).add_request(planned.number, SentRequest::new(&planned, sha));
            if planned.twin {
                thread::scope(|scope| {
                    scope.spawn(|| self.send(&planned, due));
                    self.send(&planned, due);
                });
            } else {
                self.send(&planned, due);
            }
        }
    }

    fn send(&self, planned: &PlannedRequest, due: Instant) {
        let deadline_ms = match planned.class {
            Class::Urgent => self.experiment.deadline_ms,
            Class::Patient => self.experiment.patient_deadline_ms,
        };
        for resend in 0..=self.experiment.resends {
            if resend > 0 {
                thread::sleep(Duration::from_millis(RESEND_DELAY_MS));
            }
            lock(&self.ledger).record_attempt(planned.number, resend > 0);
            let (answer, refused) = self.client.call(planned, resend > 0, deadline_ms);
            let is_lost = matches!(
                answer,
                Answer::CutOff | Answer::NoEntry | Answer::Malformed { .. }
            );
            self.record_answer(planned.number, planned.class, due, answer, refused);
            if !is_lost {
                return;
            }
        }
    }

    fn record_answer(&self, number: u64, class: Class, due: Instant, answer: Answer, refused: u64) {
        let latency_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        lock(&self.latency).record(class, &answer, latency_us);
        if let Answer::Accepted { location } = &answer {
            lock(&self.jobs).push_back(Job {
                number,
                location: location.clone(),
                next_poll: Instant::now(),
                request_due: due,
            });
        }
        let mut ledger = lock(&self.ledger);
        ledger.record_refused_connections(refused);
        ledger.record_answer(number, answer);
    }

    fn poll_loop(&self) {
        let poll_interval = Duration::from_millis(self.experiment.poll_ms.max(1));
        while !self.stop_polling.load(Ordering::Relaxed) {
            let Some(mut job) = lock(&self.jobs).pop_front() else {
                thread::sleep(poll_interval);
                continue;
            };
            thread::sleep(job.next_poll.saturating_duration_since(Instant::now()));
            let (answer, refused) = self.client.poll(&job.location);
            if answer.is_final() {
                self.record_answer(job.number, Class::Patient, job.request_due, answer, refused);
            } else {
                job.next_poll = Instant::now() + poll_interval;
                lock(&self.jobs).push_back(job);
            }
        }
    }

    /// Waits until all accepted jobs have ended, at most for `settle_ms`, and stops the
    /// pollers.
    fn settle(&self, settle_ms: u64) {
        let give_up_at = Instant::now() + Duration::from_millis(settle_ms);
        while Instant::now() < give_up_at && lock(&self.ledger).unfinished_jobs() > 0 {
            thread::sleep(Duration::from_millis(self.experiment.poll_ms.max(1)));
        }
        self.stop_polling.store(true, Ordering::Relaxed);
    }
}

/// Fetches the run records of the stand-in upstreams at the given control addresses.
///
/// # Errors
/// Returns an error if one of them gave no complete answer, since an account without
/// its records would miss runs.
pub fn fetch_runs(controls: &[String]) -> Result<Vec<RunRecord>, Error> {
    let agent = ureq::Agent::config_builder()
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(Duration::from_secs(30)))
        .build()
        .new_agent();
    let mut runs = Vec::new();
    for control in controls {
        let runs_error = |reason: String| Error::Runs {
            control: control.clone(),
            reason,
        };
        let text = agent
            .get(format!("http://{control}/runs"))
            .call()
            .and_then(|mut reply| {
                reply
                    .body_mut()
                    .with_config()
                    .limit(u64::MAX)
                    .read_to_string()
            })
            .map_err(|e| runs_error(e.to_string()))?;
        for line in text.lines() {
            runs.push(serde_json::from_str(line).map_err(|e| runs_error(e.to_string()))?);
        }
    }
    Ok(runs)
}

fn thread_builder() -> thread::Builder {
    thread::Builder::new().stack_size(STACK_BYTES)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn into_inner<T>(mutex: Mutex<T>) -> T {
    mutex.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn hex_encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
