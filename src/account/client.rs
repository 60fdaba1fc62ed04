use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::header::{LOCATION, RETRY_AFTER};
use ureq::{Agent, Body};

use super::{Answer, Planned};

/// Longest wait for a connection before the next entry instance is tried.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// How long after its deadline a caller still listens for its final answer. An
/// answer that comes later than this counts as lost.
const GRACE_MS: u64 = 3_000;

/// Largest answer read.
const ANSWER_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// Calls the entry instances in turn, as the platform's balancer would.
#[derive(Debug)]
pub struct Client {
    agent: Agent,
    entries: Vec<String>,
    keys_are_new: bool,
    next: AtomicUsize,
}

impl Client {
    /// A client of the entry instances at these addresses; `keys_are_new` if no
    /// earlier experiment sent the same keys.
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

    /// Sends a request, `again` if an answer to it was lost; also the number of
    /// entry instances that refused it.
    pub fn call(&self, planned: &Planned, again: bool, deadline_ms: u64) -> (Answer, u64) {
        let timeout_ms = planned.cancel_after_ms.unwrap_or(deadline_ms + GRACE_MS);
        self.at_next_entry(|entry| {
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
                // An entry instance that cannot look the key up says `not-run`
                // only if it is vouched for as new.
                let new = self.keys_are_new && !again && !planned.twin;
                request = request
                    .header("rg-key", key)
                    .header("rg-resend", (!new).to_string());
            }
            let called = request.send(planned.body.as_str()).and_then(read);
            match called {
                Err(ureq::Error::Timeout(_)) if planned.cancel_after_ms.is_some() => {
                    Ok(Answer::Cancelled)
                }
                called => called,
            }
        })
    }

    /// Asks for a patient job.
    pub fn poll(&self, location: &str) -> (Answer, u64) {
        self.at_next_entry(|entry| {
            self.agent
                .get(format!("http://{entry}{location}"))
                .config()
                .timeout_global(Some(Duration::from_millis(GRACE_MS)))
                .build()
                .call()
                .and_then(read)
        })
    }

    fn at_next_entry(&self, call: impl Fn(&str) -> Result<Answer, ureq::Error>) -> (Answer, u64) {
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        for tried in 0..self.entries.len() {
            let entry = &self.entries[(first + tried) % self.entries.len()];
            match call(entry) {
                Ok(answer) => return (answer, tried as u64),
                Err(e) if is_unconnected(&e) => {}
                Err(e) => {
                    tracing::debug!("load: {entry} cut off a call: {e}");
                    return (Answer::CutOff, tried as u64);
                }
            }
        }
        (Answer::NoEntry, self.entries.len() as u64)
    }
}

/// Whether no connection was made, so that nothing can have been sent.
fn is_unconnected(e: &ureq::Error) -> bool {
    match e {
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(timeout) => *timeout == ureq::Timeout::Connect,
        ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}

fn read(reply: http::Response<Body>) -> Result<Answer, ureq::Error> {
    let (head, mut body) = reply.into_parts();
    // A body that ends early fails here and counts as cut off.
    let bytes = body.with_config().limit(ANSWER_LIMIT_BYTES).read_to_vec()?;
    let status = head.status.as_u16();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    Ok(match (text("rg-outcome"), status) {
        (Some("done"), _) => Answer::Done {
            status,
            proof: serde_json::from_slice(&bytes).ok(),
        },
        (Some("not-run"), _) => Answer::NotRun {
            reason: text("rg-reason").unwrap_or("none given").to_owned(),
            come_back: text(RETRY_AFTER.as_str()).is_some(),
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
