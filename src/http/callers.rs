use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use http::{Method, StatusCode};
use tokio::sync::oneshot;

use super::reply::{Reply, json, set, text};
use super::{Handler, Incoming};
use crate::entry::{Call, CallAnswer, CallId, Event};
use crate::model::{Class, Outcome, RefusalReason, RequestKey, ServiceName, TeamName};

/// Deadline of a call that names none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Longest deadline a call may name; a longer one is a slip.
const DEADLINE_MAX_MS: u64 = 600_000;
/// Longest key, team and caller.
const NAME_MAX_BYTES: usize = 128;

/// What hands events to the node; `false` when it has ended.
pub type EventSink = Arc<dyn Fn(Event) -> bool + Send + Sync>;

/// The callers' edge: turns HTTP calls into events and answers back into HTTP.
pub struct Callers {
    events: EventSink,
    next_id: AtomicU64,
    waiting: std::sync::Mutex<std::collections::BTreeMap<CallId, oneshot::Sender<CallAnswer>>>,
}

impl Callers {
    /// An edge that hands its events to `events`.
    pub fn new(events: EventSink) -> Arc<Self> {
        Arc::new(Self {
            events,
            next_id: AtomicU64::new(1),
            waiting: std::sync::Mutex::default(),
        })
    }

    /// Passes an answer on to the caller that waits for it, if it still does.
    pub fn answer(&self, id: CallId, answer: CallAnswer) {
        if let Some(waiting) = self.lock().remove(&id) {
            let _ = waiting.send(answer);
        }
    }

    /// The handler for the callers' listener.
    pub fn handler(self: &Arc<Self>) -> Handler {
        let edge = Arc::clone(self);
        Arc::new(move |incoming| {
            let edge = Arc::clone(&edge);
            Box::pin(async move { edge.handle(incoming).await })
        })
    }

    async fn handle(&self, incoming: Incoming) -> Reply {
        let path = incoming.head.uri.path();
        match (&incoming.head.method, path.strip_prefix("/call/")) {
            (&Method::POST, Some(service)) => match parse_call(service, &incoming) {
                Ok(call) => self.call(call).await,
                Err(message) => bad_request(&message),
            },
            (&Method::GET, None) if path == "/health" => text(StatusCode::OK, "ready\n"),
            _ => text(
                StatusCode::NOT_FOUND,
                "path: not served here: POST /call/SERVICE or GET /health\n",
            ),
        }
    }

    async fn call(&self, call: Call) -> Reply {
        let id = CallId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        self.lock().insert(id, tx);
        let mut watch = GoneGuard {
            edge: self,
            id,
            armed: true,
        };
        if !(self.events)(Event::Call { id, call }) {
            watch.armed = false;
            return outcome_reply(&stopping());
        }
        let answer = rx.await;
        watch.armed = false;
        match answer {
            Ok(answer) => answer_reply(&answer),
            // The node ended with the call open: it may have been sent on.
            Err(_) => outcome_reply(&Outcome::Unknown),
        }
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, std::collections::BTreeMap<CallId, oneshot::Sender<CallAnswer>>>
    {
        self.waiting
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Tells the node when the caller's connection ends before its answer.
struct GoneGuard<'a> {
    edge: &'a Callers,
    id: CallId,
    armed: bool,
}

impl Drop for GoneGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.edge.lock().remove(&self.id);
            (self.edge.events)(Event::CallerGone { id: self.id });
        }
    }
}

fn stopping() -> Outcome {
    Outcome::NotRun {
        reason: RefusalReason::Stopping,
        retry_after_ms: Some(0),
    }
}

fn parse_call(service: &str, incoming: &Incoming) -> Result<Call, String> {
    let idempotent = match incoming.header("rg-idempotent") {
        None | Some("true") => true,
        Some("false") => false,
        Some(other) => {
            return Err(format!(
                "rg-idempotent: {other:?} is neither true nor false: send one of them"
            ));
        }
    };
    let class = match incoming.header("rg-class") {
        None => None,
        Some("urgent") => Some(Class::Urgent),
        Some("patient") => Some(Class::Patient),
        Some(other) => {
            return Err(format!(
                "rg-class: {other:?} is neither urgent nor patient: send one of them or none"
            ));
        }
    };
    let deadline_ms = match incoming.header("rg-deadline-ms") {
        None => DEFAULT_DEADLINE_MS,
        Some(value) => value
            .parse()
            .ok()
            .filter(|ms| (1..=DEADLINE_MAX_MS).contains(ms))
            .ok_or_else(|| {
                format!(
                    "rg-deadline-ms: {value:?} is not a whole number from 1 to \
                     {DEADLINE_MAX_MS}: send the milliseconds the answer is of use"
                )
            })?,
    };
    let key = name_header(incoming, "rg-key")?.map(RequestKey::from);
    if !idempotent && key.is_none() {
        return Err(
            "rg-key: missing, and rg-idempotent is false: send a key that is \
             unique to this request and the same when it is sent again"
                .into(),
        );
    }
    Ok(Call {
        service: ServiceName::from(service),
        team: TeamName::from(name_header(incoming, "rg-team")?.unwrap_or("default")),
        caller: name_header(incoming, "rg-caller")?
            .unwrap_or("default")
            .to_owned(),
        class,
        key,
        idempotent,
        deadline_ms,
        body: Arc::from(&incoming.body[..]),
    })
}

fn name_header<'a>(incoming: &'a Incoming, name: &str) -> Result<Option<&'a str>, String> {
    match incoming.header(name) {
        None if incoming.head.headers.contains_key(name) => Err(format!(
            "{name}: not plain text: use printable ASCII characters"
        )),
        Some(value) if value.is_empty() || value.len() > NAME_MAX_BYTES => Err(format!(
            "{name}: {} bytes long: use 1 to {NAME_MAX_BYTES}",
            value.len()
        )),
        value => Ok(value),
    }
}

fn bad_request(message: &str) -> Reply {
    let mut reply = text(StatusCode::BAD_REQUEST, format!("{message}\n"));
    set(&mut reply, "rg-outcome", "not-run");
    set(
        &mut reply,
        "rg-reason",
        &RefusalReason::BadRequest.to_string(),
    );
    reply
}

fn answer_reply(answer: &CallAnswer) -> Reply {
    match answer {
        CallAnswer::Outcome(outcome) => outcome_reply(outcome),
        CallAnswer::BadRequest(message) => bad_request(message),
        CallAnswer::Accepted { job } => {
            let mut reply = json(StatusCode::ACCEPTED, &serde_json::json!({ "job": job }));
            set(&mut reply, "rg-outcome", "accepted");
            set(&mut reply, "location", &format!("/job/{job}"));
            reply
        }
    }
}

fn outcome_reply(outcome: &Outcome) -> Reply {
    match outcome {
        Outcome::Done { status, body } => {
            let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_GATEWAY);
            let body = bytes::Bytes::copy_from_slice(body);
            let mut reply = super::reply::with_type(status, "application/octet-stream", body);
            set(&mut reply, "rg-outcome", "done");
            reply
        }
        Outcome::NotRun {
            reason,
            retry_after_ms,
        } => {
            let line = format!("not run: {reason}\n");
            let mut reply = text(status_of(*reason), line);
            set(&mut reply, "rg-outcome", "not-run");
            set(&mut reply, "rg-reason", &reason.to_string());
            if let Some(ms) = retry_after_ms {
                set(&mut reply, "rg-retry-after-ms", &ms.to_string());
                set(&mut reply, "retry-after", &ms.div_ceil(1000).to_string());
            }
            reply
        }
        Outcome::Unknown => {
            let line = "unknown: it may have run; ask again under the same key\n";
            let mut reply = text(StatusCode::GATEWAY_TIMEOUT, line);
            set(&mut reply, "rg-outcome", "unknown");
            reply
        }
    }
}

fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::UnknownService => StatusCode::NOT_FOUND,
        RefusalReason::NeverFits => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::KeyConflict => StatusCode::CONFLICT,
        RefusalReason::KeyExpired => StatusCode::GONE,
        RefusalReason::QueueFull | RefusalReason::TeamQuota => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Deadline
        | RefusalReason::RowClosed
        | RefusalReason::NoInstance
        | RefusalReason::RetryBudget
        | RefusalReason::Cancelled
        | RefusalReason::NoQuorum
        | RefusalReason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}
