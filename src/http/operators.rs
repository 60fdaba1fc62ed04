use std::collections::BTreeMap;
use std::sync::Arc;

use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;

use super::callers::EventSink;
use super::reply::{Reply, json, text, with_type};
use super::waiting::Waiting;
use super::{Handler, HealthBoard, Incoming, handler, metrics};
use crate::entry::{Event, OperatorAnswer, OperatorId, OperatorRequest, Subject};
use crate::model::ChangeId;

/// Operators' names and tokens.
#[derive(Clone, Default)]
pub struct OperatorKeys(BTreeMap<String, String>);

impl From<BTreeMap<String, String>> for OperatorKeys {
    fn from(tokens: BTreeMap<String, String>) -> Self {
        Self(tokens)
    }
}

impl OperatorKeys {
    /// The operator whose token this is. Every token is compared, each in
    /// constant time, so that the time taken tells nothing about them.
    pub fn operator(&self, token: &str) -> Option<&str> {
        let mut found = None;
        for (name, known) in &self.0 {
            if bool::from(known.as_bytes().ct_eq(token.as_bytes())) {
                found = Some(name.as_str());
            }
        }
        found
    }
}

/// The operators' edge.
pub struct Operators {
    events: EventSink,
    keys: OperatorKeys,
    health: Arc<HealthBoard>,
    waiting: Waiting<OperatorAnswer>,
}

impl Operators {
    /// An edge that hands its events to `events`.
    pub fn new(events: EventSink, keys: OperatorKeys, health: Arc<HealthBoard>) -> Arc<Self> {
        Arc::new(Self {
            events,
            keys,
            health,
            waiting: Waiting::default(),
        })
    }

    /// Passes an answer on to the operator.
    pub fn answer(&self, id: OperatorId, answer: OperatorAnswer) {
        self.waiting.answer(id.0, answer);
    }

    /// The handler for the operators' listener.
    pub fn handler(self: &Arc<Self>) -> Handler {
        handler(Arc::clone(self), Self::handle)
    }

    async fn handle(self: Arc<Self>, incoming: Incoming) -> Reply {
        // A balancer and a collector of metrics have no token.
        match (&incoming.head.method, incoming.head.uri.path()) {
            (&Method::GET, "/health") => return self.health.reply(),
            (&Method::GET, "/metrics") => return self.ask(OperatorRequest::Metrics).await,
            _ => {}
        }
        let token = incoming
            .header("authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        let Some(operator) = token.and_then(|token| self.keys.operator(token)) else {
            let line = "authorization: no operator has this token: send \
                        `Authorization: Bearer TOKEN`\n";
            return text(StatusCode::UNAUTHORIZED, line);
        };
        match parse(operator, &incoming) {
            Ok(Some(request)) => {
                tracing::info!("operator: {operator} asks {}", incoming.head.uri.path());
                self.ask(request).await
            }
            Ok(None) => text(StatusCode::NOT_FOUND, "path: not served here\n"),
            Err(message) => text(StatusCode::BAD_REQUEST, format!("{message}\n")),
        }
    }

    async fn ask(&self, request: OperatorRequest) -> Reply {
        let (id, answer) = self.waiting.open();
        let id = OperatorId(id);
        (self.events)(Event::Operator { id, request });
        match answer.await {
            Ok(OperatorAnswer::Ok(value)) => json(StatusCode::OK, &value),
            Ok(OperatorAnswer::Sheet(sheet)) => {
                with_type(StatusCode::OK, "text/csv; charset=utf-8", sheet.into())
            }
            Ok(OperatorAnswer::Metrics(status)) => metrics::reply(&status),
            Ok(OperatorAnswer::Refused(value)) => json(StatusCode::CONFLICT, &value),
            Ok(OperatorAnswer::Unknown(line)) => {
                text(StatusCode::GATEWAY_TIMEOUT, format!("{line}\n"))
            }
            Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }
}

fn parse(operator: &str, incoming: &Incoming) -> Result<Option<OperatorRequest>, String> {
    let path = incoming.head.uri.path();
    let request = match (&incoming.head.method, path) {
        (&Method::GET, "/status") => OperatorRequest::Status,
        (&Method::GET, "/table") => OperatorRequest::Table,
        (&Method::GET, "/pools") => OperatorRequest::Pools,
        (&Method::GET, "/waves") => OperatorRequest::Waves,
        (&Method::POST, "/table/check") => OperatorRequest::CheckTable {
            sheet: incoming.body.to_vec(),
        },
        (&Method::POST, "/table") => OperatorRequest::PutTable {
            change: change_id(incoming)?,
            operator: operator.to_owned(),
            sheet: incoming.body.to_vec(),
            confirm_jump: confirm_jump(incoming)?,
        },
        (&Method::POST, "/waves/plan") => OperatorRequest::PlanWave {
            spec: body_as(incoming, "a wave")?,
        },
        (&Method::POST, "/fleet") => OperatorRequest::Fleet {
            change: change_id(incoming)?,
            operator: operator.to_owned(),
            command: body_as(incoming, "a change of the fleet")?,
        },
        (&Method::GET, _) => return Ok(explain(path)),
        _ => return Ok(None),
    };
    Ok(Some(request))
}

fn explain(path: &str) -> Option<OperatorRequest> {
    let (kind, name) = path.strip_prefix("/explain/")?.split_once('/')?;
    let name = name.to_owned();
    let subject = match kind {
        "request" => Subject::Request(name),
        "instance" => Subject::Instance(name),
        "pool" => Subject::Pool(name),
        "wave" => Subject::Wave(name),
        "row" => Subject::Row(name),
        _ => return None,
    };
    Some(OperatorRequest::Explain(subject))
}

fn body_as<T: DeserializeOwned>(incoming: &Incoming, wanted: &str) -> Result<T, String> {
    serde_json::from_slice(&incoming.body)
        .map_err(|err| format!("body: {err}: send {wanted} as documented"))
}

fn confirm_jump(incoming: &Incoming) -> Result<bool, String> {
    match incoming.header("rg-confirm-jump") {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => Err(format!(
            "rg-confirm-jump: {other:?} is neither true nor false: send one of them or none"
        )),
    }
}

fn change_id(incoming: &Incoming) -> Result<ChangeId, String> {
    incoming
        .header("rg-change-id")
        .filter(|id| !id.is_empty() && id.len() <= 128)
        .map(ChangeId::from)
        .ok_or_else(|| {
            "rg-change-id: missing or over 128 bytes: send an id that is unique to \
             this change and the same when it is sent again"
                .into()
        })
}
