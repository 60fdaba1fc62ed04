use std::sync::Arc;

use http::{Method, StatusCode};

use super::reply::{Reply, json, set, text};
use super::waiting::Waiting;
use super::{Handler, HealthBoard, Incoming, handler};
use crate::entry::{Call, CallAnswer, CallId, Event, JobView};
use crate::model::{Class, Outcome, RefusalReason, RequestKey, ServiceName, WorkspaceName};

/// Deadline of a call that names none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Longest deadline a call may name; a longer one is a slip.
const DEADLINE_MAX_MS: u64 = 600_000;
/// When to ask again for an outcome that is not known: an election, or the return
/// of a lost answer's store, is over by then.
const UNKNOWN_RETRY_S: &str = "2";
/// Longest key, team and caller.
const NAME_MAX_BYTES: usize = 128;

/// What hands events to the node; `false` when it has ended.
pub type EventSink = Arc<dyn Fn(Event) -> bool + Send + Sync>;

/// The callers' edge: turns HTTP calls into events and answers back into HTTP.
pub struct Callers {
    events: EventSink,
    health: Arc<HealthBoard>,
    waiting: Waiting<CallAnswer>,
}

impl Callers {
    /// An edge that hands its events to `events`.
    pub fn new(events: EventSink, health: Arc<HealthBoard>) -> Arc<Self> {
        Arc::new(Self {
            events,
            health,
            waiting: Waiting::default(),
        })
    }

    /// Passes an answer on to the caller that waits for it, if it still does.
    pub fn answer(&self, id: CallId, answer: CallAnswer) {
        self.waiting.answer(id.0, answer);
    }

    /// The handler for the callers' listener.
    pub fn handler(self: &Arc<Self>) -> Handler {
        handler(Arc::clone(self), |edge, incoming| async move {
            let mut reply = edge.handle(incoming).await;
            if edge.health.is_draining() {
                set(&mut reply, "connection", "close");
            }
            reply
        })
    }

    async fn handle(&self, mut incoming: Incoming) -> Reply {
        let path = incoming.head.uri.path().to_owned();
        let method = &incoming.head.method.clone();
        if (method, path.as_str()) == (&Method::GET, "/health") {
            return self.health.reply();
        }
        let job = path.strip_prefix("/job/").map(str::to_owned);
        match (method, path.strip_prefix("/call/"), job) {
            (&Method::POST, Some(service), _) => match parse_call(service, &incoming) {
                Ok(call) => {
                    // The call has a copy of its own, which `hold` counts until the answer.
                    incoming.body.clear();
                    self.ask(|id| Event::Call { id, call }).await
                }
                Err(message) => bad_request(&message),
            },
            (&Method::GET, _, Some(job)) => self.ask(|id| Event::JobQuery { id, job }).await,
            (&Method::DELETE, _, Some(job)) => self.ask(|id| Event::JobCancel { id, job }).await,
            _ => text(
                StatusCode::NOT_FOUND,
                "path: not served here: POST /call/SERVICE, GET or DELETE /job/ID, GET /health\n",
            ),
        }
    }

    async fn ask(&self, event: impl FnOnce(CallId) -> Event) -> Reply {
        let (id, answer) = self.waiting.open();
        let id = CallId(id);
        let mut guard = GoneGuard {
            edge: self,
            id,
            armed: true,
        };
        if !(self.events)(event(id)) {
            guard.armed = false;
            return outcome_reply(&stopping());
        }
        let answer = answer.await;
        guard.armed = false;
        match answer {
            Ok(answer) => answer_reply(&answer),
            // The node ended with the call open: it may have been sent on.
            Err(_) => outcome_reply(&Outcome::Unknown),
        }
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
            self.edge.waiting.forget(self.id.0);
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
    let first = match incoming.header("rg-resend") {
        Some("false") => true,
        None | Some("true") => false,
        Some(other) => {
            return Err(format!(
                "rg-resend: {other:?} is neither true nor false: send one of them or none"
            ));
        }
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
        team: WorkspaceName::from(name_header(incoming, "rg-team")?.unwrap_or("default")),
        caller: name_header(incoming, "rg-caller")?
            .unwrap_or("default")
            .to_owned(),
        class,
        key,
        idempotent,
        first,
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
        CallAnswer::Job(view) => job_reply(view),
        CallAnswer::Accepted { job } => {
            let mut reply = json(StatusCode::ACCEPTED, &serde_json::json!({ "job": job }));
            set(&mut reply, "rg-outcome", "accepted");
            set(&mut reply, "location", &format!("/job/{job}"));
            reply
        }
    }
}

fn job_reply(view: &JobView) -> Reply {
    let open = |state: &str| {
        let mut reply = json(StatusCode::ACCEPTED, &serde_json::json!({ "state": state }));
        set(&mut reply, "rg-outcome", "accepted");
        set(&mut reply, "retry-after", "1");
        reply
    };
    match view {
        JobView::Waiting => open("waiting"),
        JobView::Running => open("running"),
        JobView::Ended(outcome) => outcome_reply(outcome),
        JobView::Over => text(
            StatusCode::CONFLICT,
            "job: it has ended: ask for its outcome\n",
        ),
        JobView::NotFound => text(
            StatusCode::NOT_FOUND,
            "job: not known here, or no longer kept: ask again in a second, or another \
             entry instance\n",
        ),
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
            set(&mut reply, "retry-after", UNKNOWN_RETRY_S);
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
        RefusalReason::QueueFull | RefusalReason::TeamQuota => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Deadline
        | RefusalReason::RowClosed
        | RefusalReason::NoInstance
        | RefusalReason::RetryBudget
        | RefusalReason::Cancelled
        | RefusalReason::NoQuorum
        | RefusalReason::Starting
        | RefusalReason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}
