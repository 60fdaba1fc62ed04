use std::sync::Arc;
use std::time::Instant;

use http::header::AUTHORIZATION;
use http::request::Parts;
use http::{Method, StatusCode};
use secrecy::SecretString;
use serde_json::json;

use super::read_job;
use super::replies::{no_room, refused, success, unknown_outcome};
use crate::control::{Answer, Call, CallBridge, Credentials, KeyDigest, Place, Refusal, outcome};
use crate::http::{Handler, Incoming, Reply, handler, text, text_header};
use crate::jobs::{JobSpec, JobState};

/// Header with the caller's id of a request, which is logged.
const REQUEST_HEADER: &str = "request-id";
/// Header with the caller's timeout in milliseconds.
const DEADLINE_HEADER: &str = "deadline-ms";
/// Scheme of the authorization header.
const KEY_SCHEME: &str = "Bearer";
/// Timeout of a caller that sends none: the shortest timeout that queues usually allow.
const DEFAULT_TIMEOUT_MS: u64 = 2_500;
/// Longest timeout that a caller may ask for; a longer one is shortened to it.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Forms in which a job is held until it is answered: as decoded, and as encoded for its link,
/// which is smaller.
const FORMS: usize = 2;
/// Turns in which a connection reads the end of a body and then that of its stream.
const TURNS_TO_EOF: usize = 2;
/// Part of the caller's timeout that is reserved for the transfer of the answer.
const ANSWER_RESERVE_MS: u64 = 150;

/// HTTP API for callers at an entry instance.
#[derive(Debug)]
pub struct EntryCalls {
    bridge: Arc<CallBridge>,
}

impl EntryCalls {
    /// Returns an API that submits calls to `bridge`.
    pub fn new(bridge: Arc<CallBridge>) -> Self {
        Self { bridge }
    }

    /// Returns the HTTP handler of the API.
    pub fn handler(self) -> Handler {
        handler(Arc::new(self), Self::answer)
    }

    async fn answer(self: Arc<Self>, mut incoming: Incoming) -> Reply {
        let patience_ms = incoming
            .header(DEADLINE_HEADER)
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(DEFAULT_TIMEOUT_MS);
        let patience_ms = patience_ms
            .min(MAX_TIMEOUT_MS)
            .saturating_sub(ANSWER_RESERVE_MS)
            .max(ANSWER_RESERVE_MS);
        let mut fault = None;
        let place = Place {
            host: host(&incoming),
            path: incoming.head.uri.path().to_owned(),
        };
        let method = incoming.head.method.clone();
        let call = match method {
            Method::POST => Call::Submit {
                place,
                spec: match read_spec(&incoming.body) {
                    Ok(spec) if incoming.hold.resize(FORMS * spec.memory_bytes()) => {
                        Some(Arc::new(spec))
                    }
                    Ok(_) => return no_room(incoming.head.uri.path()),
                    Err(why) => {
                        fault = Some(why);
                        None
                    }
                },
            },
            Method::GET => Call::Look { place },
            Method::DELETE => Call::Cancel { place },
            _ => return text(StatusCode::METHOD_NOT_ALLOWED, "use POST, GET or DELETE\n"),
        };
        let call = match read_credentials(&incoming) {
            Credentials::Missing => call,
            credentials => Call::Authorized {
                credentials,
                call: Box::new(call),
            },
        };
        let began = Instant::now();
        if method == Method::POST {
            // The process may have been paused with the request unread. The connection then
            // finds out here that its caller has left, and drops this future.
            let unsent = Unsent {
                head: &incoming.head,
            };
            for _ in 0..TURNS_TO_EOF {
                tokio::task::yield_now().await;
            }
            unsent.send();
        }
        incoming.body.clear();
        let Incoming { head, hold, .. } = incoming;
        let (answer, _hold) = self.bridge.call(call, patience_ms, hold).await;
        let answer = match (answer, fault) {
            (Answer::Refused(Refusal::Wrong(_)), Some(why)) => Answer::Refused(Refusal::Wrong(why)),
            (answer, _) => answer,
        };
        tracing::info!(
            request = text_header(&head, REQUEST_HEADER), %method, path = head.uri.path(),
            outcome = outcome(&answer), patience_ms, took_ms = began.elapsed().as_millis() as u64,
            "call: answered"
        );
        reply(&method, &answer)
    }
}

/// A submission that is not handed on yet. It is logged if its caller leaves before.
struct Unsent<'a> {
    head: &'a Parts,
}

impl Unsent<'_> {
    fn send(self) {
        std::mem::forget(self);
    }
}

impl Drop for Unsent<'_> {
    fn drop(&mut self) {
        tracing::info!(
            request = text_header(self.head, REQUEST_HEADER),
            path = self.head.uri.path(),
            "call: its caller left before it was sent"
        );
    }
}

/// Decodes and checks a job, so that none is sent on that the leader refuses for its size.
fn read_spec(body: &[u8]) -> Result<JobSpec, String> {
    let spec = read_job(body).map_err(|err| err.to_string());
    let spec = spec.and_then(|spec| spec.check().map(|()| spec).map_err(|err| err.to_string()));
    spec.inspect_err(|why| tracing::info!(why, "entry: cannot accept a job"))
        .map_err(|why| format!("the job cannot be accepted: {why}"))
}

/// Reads the key of the authorization header, of which only the digest is kept.
fn read_credentials(incoming: &Incoming) -> Credentials {
    let mut headers = incoming.head.headers.get_all(AUTHORIZATION).iter();
    let Some(header) = headers.next() else {
        return Credentials::Missing;
    };
    let text = header.to_str().ok().filter(|_| headers.next().is_none());
    let parts = text.and_then(|text| text.trim().split_once(' '));
    let key = parts
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(KEY_SCHEME))
        .map(|(_, key)| key.trim())
        .filter(|key| !key.is_empty() && !key.contains([' ', ',']));
    key.map_or(Credentials::Malformed, |key| {
        Credentials::Key(KeyDigest::of(&SecretString::from(key)))
    })
}

fn host(incoming: &Incoming) -> String {
    let authority = incoming.header("host").unwrap_or("");
    let host = authority
        .rsplit_once(':')
        .map_or(authority, |(host, _)| host);
    host.to_owned()
}

fn reply(method: &Method, answer: &Answer) -> Reply {
    match answer {
        Answer::Done => success(&json!({})),
        Answer::Job(state) => success(&json!({ "state": state_name(*state) })),
        Answer::Pending(count) => success(&json!({ "pending": count })),
        Answer::Refused(refusal) if *method == Method::POST => {
            refused(refusal, StatusCode::BAD_REQUEST)
        }
        Answer::Refused(refusal) => refused(refusal, StatusCode::GONE),
        Answer::Unknown
        | Answer::LeadLost
        | Answer::NotLeader { .. }
        | Answer::Configuration(_)
        | Answer::Wave { .. } => unknown_outcome(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Completed => "completed",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}
