use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use sha2::{Digest, Sha256};

use crate::model::Class;
use crate::upstream::RunRecord;

use super::{Answer, Client, Error, Latency, Ledger, Plan, Planned, Sent};

/// Pause before a request whose answer was lost is sent again.
const RESEND_PAUSE_MS: u64 = 100;

/// Threads that ask for patient jobs; a poll takes well under a millisecond.
const POLLERS: usize = 8;

/// Stack of one sending thread: thousands of them wait at once.
const STACK_BYTES: usize = 256 * 1024;

/// An experiment about to be run.
#[derive(Debug)]
pub struct Experiment {
    /// What is sent.
    pub plan: Plan,
    /// Addresses of the entry instances' caller ports.
    pub entries: Vec<String>,
    /// Whether no earlier experiment sent the same keys.
    pub keys_are_new: bool,
    /// Deadline of urgent requests in milliseconds.
    pub deadline_ms: u64,
    /// Deadline of patient requests in milliseconds.
    pub patient_deadline_ms: u64,
    /// Times a request is sent again after a lost answer.
    pub resends: u32,
    /// Requests that may be on their way at once.
    pub threads: usize,
    /// How long after the last answer patient jobs may still finish.
    pub settle_ms: u64,
    /// How often a patient job is asked for.
    pub poll_ms: u64,
}

/// What an experiment brought.
#[derive(Debug)]
pub struct Outcome {
    /// What callers were told.
    pub ledger: Ledger,
    /// How long it took.
    pub latency: Latency,
    /// Requests sent more than 10 ms late because all threads were busy.
    pub sent_late: u64,
    /// From the first due time to the last urgent answer, in milliseconds.
    pub took_ms: u64,
}

/// Lateness from which a request counts as sent late: well above what a busy
/// machine adds to a thread's wake-up, well below what matters in a deadline.
const LATE_US: u64 = 10_000;

/// A patient job that is asked for.
struct Job {
    number: u64,
    location: String,
    due: Instant,
    planned_at: Instant,
}

struct Shared {
    experiment: Experiment,
    client: Client,
    start: Instant,
    plan: Mutex<Plan>,
    ledger: Mutex<Ledger>,
    latency: Mutex<Latency>,
    sent_late: Mutex<u64>,
    /// In the order of their due times, since each is put back with one delay.
    jobs: Mutex<VecDeque<Job>>,
    settled: AtomicBool,
}

impl Experiment {
    /// Sends the plan and waits for the answers.
    ///
    /// # Errors
    /// A thread could not be started.
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
            settled: AtomicBool::new(false),
        };
        let took_ms = thread::scope(|scope| {
            for _ in 0..POLLERS {
                builder().spawn_scoped(scope, || shared.poll_loop())?;
            }
            let senders = (0..threads)
                .map(|_| builder().spawn_scoped(scope, || shared.send_loop()))
                .collect::<Result<Vec<_>, _>>();
            // The pollers end only when told, also if a thread could not start.
            let senders = senders.inspect_err(|_| shared.settled.store(true, Ordering::Relaxed))?;
            for sender in senders {
                // A sender that panicked leaves its request open: it counts as lost.
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
            if due.elapsed() > Duration::from_micros(LATE_US) {
                *lock(&self.sent_late) += 1;
            }
            let sha = hex(&Sha256::digest(planned.body.as_bytes()));
            lock(&self.ledger).open(planned.number, Sent::new(&planned, sha));
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

    fn send(&self, planned: &Planned, due: Instant) {
        let deadline_ms = match planned.class {
            Class::Urgent => self.experiment.deadline_ms,
            Class::Patient => self.experiment.patient_deadline_ms,
        };
        for resend in 0..=self.experiment.resends {
            if resend > 0 {
                thread::sleep(Duration::from_millis(RESEND_PAUSE_MS));
            }
            lock(&self.ledger).send(planned.number, resend > 0);
            let (answer, refused) = self.client.call(planned, resend > 0, deadline_ms);
            let lost = matches!(
                answer,
                Answer::CutOff | Answer::NoEntry | Answer::Malformed { .. }
            );
            self.note(planned.number, planned.class, due, answer, refused);
            if !lost {
                return;
            }
        }
    }

    fn note(&self, number: u64, class: Class, due: Instant, answer: Answer, refused: u64) {
        let us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        lock(&self.latency).record(class, &answer, us);
        if let Answer::Accepted { location } = &answer {
            lock(&self.jobs).push_back(Job {
                number,
                location: location.clone(),
                due: Instant::now(),
                planned_at: due,
            });
        }
        let mut ledger = lock(&self.ledger);
        ledger.refuse_connections(refused);
        ledger.answer(number, answer);
    }

    fn poll_loop(&self) {
        let idle = Duration::from_millis(self.experiment.poll_ms.max(1));
        while !self.settled.load(Ordering::Relaxed) {
            let Some(mut job) = lock(&self.jobs).pop_front() else {
                thread::sleep(idle);
                continue;
            };
            thread::sleep(job.due.saturating_duration_since(Instant::now()));
            let (answer, refused) = self.client.poll(&job.location);
            if answer.is_final() {
                self.note(job.number, Class::Patient, job.planned_at, answer, refused);
            } else {
                job.due = Instant::now() + idle;
                lock(&self.jobs).push_back(job);
            }
        }
    }

    /// Waits until no accepted job is open, or the time is up.
    fn settle(&self, settle_ms: u64) {
        let until = Instant::now() + Duration::from_millis(settle_ms);
        while Instant::now() < until && lock(&self.ledger).open_jobs() > 0 {
            thread::sleep(Duration::from_millis(self.experiment.poll_ms.max(1)));
        }
        self.settled.store(true, Ordering::Relaxed);
    }
}

/// Asks the stand-ins at these control addresses for all their runs.
///
/// # Errors
/// One of them did not answer whole; an account without it would miss runs.
pub fn fetch_runs(controls: &[String]) -> Result<Vec<RunRecord>, Error> {
    let agent = ureq::Agent::config_builder()
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(Duration::from_secs(30)))
        .build()
        .new_agent();
    let mut runs = Vec::new();
    for control in controls {
        let failed = |reason: String| Error::Runs {
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
            .map_err(|e| failed(e.to_string()))?;
        for line in text.lines() {
            runs.push(serde_json::from_str(line).map_err(|e| failed(e.to_string()))?);
        }
    }
    Ok(runs)
}

fn builder() -> thread::Builder {
    thread::Builder::new().stack_size(STACK_BYTES)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn into_inner<T>(mutex: Mutex<T>) -> T {
    mutex.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
