use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use http::{Method, StatusCode};
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use super::callers::EventSink;
use super::reply::{Reply, json, text};
use super::{Handler, Incoming};
use crate::entry::{Event, OperatorAnswer, OperatorId, OperatorRequest};
use crate::model::{ChangeId, Pool};
use crate::state::RowChange;

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
    next_id: AtomicU64,
    waiting: Mutex<BTreeMap<OperatorId, oneshot::Sender<OperatorAnswer>>>,
}

impl Operators {
    /// An edge that hands its events to `events`.
    pub fn new(events: EventSink, keys: OperatorKeys) -> Arc<Self> {
        Arc::new(Self {
            events,
            keys,
            next_id: AtomicU64::new(1),
            waiting: Mutex::default(),
        })
    }

    /// Passes an answer on to the operator.
    pub fn answer(&self, id: OperatorId, answer: OperatorAnswer) {
        if let Some(waiting) = self.lock().remove(&id) {
            let _ = waiting.send(answer);
        }
    }

    /// The handler for the operators' listener.
    pub fn handler(self: &Arc<Self>) -> Handler {
        let edge = Arc::clone(self);
        Arc::new(move |incoming| {
            let edge = Arc::clone(&edge);
            Box::pin(async move { edge.handle(incoming).await })
        })
    }

    async fn handle(&self, incoming: Incoming) -> Reply {
        let token = incoming
            .header("authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        let Some(operator) = token.and_then(|token| self.keys.operator(token)) else {
            let line = "authorization: no operator has this token: send \
                        `Authorization: Bearer TOKEN`\n";
            return text(StatusCode::UNAUTHORIZED, line);
        };
        match parse(operator, &incoming) {
            Ok(Some(request)) => self.ask(request).await,
            Ok(None) => text(StatusCode::NOT_FOUND, "path: not served here\n"),
            Err(message) => text(StatusCode::BAD_REQUEST, format!("{message}\n")),
        }
    }

    async fn ask(&self, request: OperatorRequest) -> Reply {
        let id = OperatorId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = oneshot::channel();
        self.lock().insert(id, tx);
        (self.events)(Event::Operator { id, request });
        match rx.await {
            Ok(OperatorAnswer::Ok(value)) => json(StatusCode::OK, &value),
            Ok(OperatorAnswer::Refused(value)) => json(StatusCode::CONFLICT, &value),
            Ok(OperatorAnswer::Unknown(line)) => {
                text(StatusCode::GATEWAY_TIMEOUT, format!("{line}\n"))
            }
            Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<OperatorId, oneshot::Sender<OperatorAnswer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse(operator: &str, incoming: &Incoming) -> Result<Option<OperatorRequest>, String> {
    let path = incoming.head.uri.path();
    let request = match (&incoming.head.method, path) {
        (&Method::GET, "/status") => OperatorRequest::Status,
        (&Method::GET, "/table") => OperatorRequest::Table,
        (&Method::PUT, "/table") => OperatorRequest::PutRows {
            change: change_id(incoming)?,
            operator: operator.to_owned(),
            rows: serde_json::from_slice::<Vec<RowChange>>(&incoming.body)
                .map_err(|err| format!("body: {err}: send rows as documented"))?,
        },
        (&Method::PUT, "/pool") => OperatorRequest::PutPool {
            change: change_id(incoming)?,
            operator: operator.to_owned(),
            pool: serde_json::from_slice::<Pool>(&incoming.body)
                .map_err(|err| format!("body: {err}: send a pool as documented"))?,
        },
        _ => return Ok(None),
    };
    Ok(Some(request))
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
