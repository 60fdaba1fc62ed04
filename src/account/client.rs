use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::header::{LOCATION, RETRY_AFTER};
use ureq::{Agent, Body};

use super::{Answer, PlannedRequest};

/// Timeout of a connection attempt, after which the next entry instance is tried.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Time after the deadline for which a caller still waits for its final answer. A
/// later answer counts as lost.
const ANSWER_GRACE_MS: u64 = 3_000;

/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// HTTP client that calls the entry instances round-robin, as the platform's load
/// balancer does.
#[derive(Debug)]
pub struct Client {
    agent: Agent,
    entries: Vec<String>,
    keys_are_new: bool,
    next: AtomicUsize,
}

impl Client {
    /// Returns a client for the entry instances at the given addresses. `keys_are_new`
    /// says that no earlier experiment sent the same keys.
    pub fn new(entries: Vec<String>, keys_are_new: bool) -> Self {
        let agent = Agent::config_builder()
            .max_redirects(0)
            .http_status_as_error(false)
            .proxy(None)
            .timeout_connect(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)))
            .max_idle_connections(4_096)
            .max_idle_connections_per_host(1_024)
            .build()
            .new_agent();
        Self {
            agent,
            entries,
            keys_are_new,
            next: AtomicUsize::new(0),
        }
    }

    /// Sends a request and returns its result and the number of entry instances that
    /// refused the connection. `is_resend` says that an earlier answer was lost.
    pub fn call(
        &self,
        planned: &PlannedRequest,
        is_resend: bool,
        deadline_ms: u64,
    ) -> (Answer, u64) {
        let timeout_ms = planned
            .cancel_after_ms
            .unwrap_or(deadline_ms + ANSWER_GRACE_MS);
        self.call_next_entry(|entry| {
            let mut request = self
                .agent
                .post(format!("http://{entry}/call/{}", planned.service))
                .config()
                .timeout_global(Some(Duration::from_millis(timeout_ms)))
                .build()
                .header("rg-team", &planned.team)
                .header("rg-caller", &planned.caller)
                .header("rg-class", planned.class.to_string())
                .header("rg-idempotent", planned.idempotent.to_string())
                .header("rg-deadline-ms", deadline_ms.to_string());
            if let Some(key) = &planned.key {
                // An entry instance that cannot look up the key answers `not-run` only
                // if the caller declares that the key is new.
                let key_is_new = self.keys_are_new && !is_resend && !planned.twin;
                request = request
                    .header("rg-key", key)
                    .header("rg-resend", (!key_is_new).to_string());
            }
            let called = request.send(planned.body.as_str()).and_then(read_answer);
            match called {
                Err(ureq::Error::Timeout(_)) if planned.cancel_after_ms.is_some() => {
                    Ok(Answer::Cancelled)
                }
                called => called,
            }
        })
    }

    /// Asks for the state of a patient job. Returns the result and the number of entry
    /// instances that refused the connection.
    pub fn poll(&self, location: &str) -> (Answer, u64) {
        self.call_next_entry(|entry| {
            self.agent
                .get(format!("http://{entry}{location}"))
                .config()
                .timeout_global(Some(Duration::from_millis(ANSWER_GRACE_MS)))
                .build()
                .call()
                .and_then(read_answer)
        })
    }

    fn call_next_entry(&self, call: impl Fn(&str) -> Result<Answer, ureq::Error>) -> (Answer, u64) {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        for tried in 0..self.entries.len() {
            let entry = &self.entries[(first + tried) % self.entries.len()];
            match call(entry) {
                Ok(answer) => return (answer, tried as u64),
                Err(e) if is_connect_error(&e) => {}
                Err(e) => {
                    tracing::debug!(
                        "load: the call to {entry} ended before a complete answer: {e}"
                    );
                    return (Answer::CutOff, tried as u64);
                }
            }
        }
        (Answer::NoEntry, self.entries.len() as u64)
    }
}

/// Returns whether no connection was made, so that nothing can have been sent.
fn is_connect_error(e: &ureq::Error) -> bool {
    match e {
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(timeout) => *timeout == ureq::Timeout::Connect,
        ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}

fn read_answer(reply: http::Response<Body>) -> Result<Answer, ureq::Error> {
    let (head, mut body) = reply.into_parts();
    // A truncated body fails here and counts as cut off.
    let bytes = body.with_config().limit(MAX_ANSWER_BYTES).read_to_vec()?;
    let status = head.status.as_u16();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    Ok(match (text("rg-outcome"), status) {
        (Some("done"), _) => Answer::Done {
            status,
            proof: serde_json::from_slice(&bytes).ok(),
        },
        (Some("not-run"), _) => Answer::NotRun {
            reason: text("rg-reason").unwrap_or("none given").to_owned(),
            has_retry_after: text(RETRY_AFTER.as_str()).is_some(),
        },
        (Some("unknown"), _) => Answer::Unknown,
        (Some("accepted"), 202) => match text(LOCATION.as_str()) {
            Some(location) => Answer::Accepted {
                location: location.to_owned(),
            },
            None => Answer::Pending,
        },
        (_, 202) => Answer::Pending,
        (_, 404) => Answer::NotFound,
        _ => Answer::Malformed { status },
    })
}
