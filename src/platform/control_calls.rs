use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::replies::{no_room, refused, success, unknown_outcome};
use super::reports::read_leave;
use super::{Settings, read_configuration, read_report};
use crate::control::{Answer, Call, CallBridge, Refusal, Wave};
use crate::http::{Handler, Incoming, Reply, handler, text, with_type};
use crate::intake::Hold;
use crate::model::InstanceName;

/// Timeout of a call. Workers and operators stop waiting for an answer after a second.
const CALL_TIMEOUT_MS: u64 = 900;

/// Forms in which a configuration is held until it is answered: its document, decoded, encoded,
/// and in parts for the log.
const CONFIGURATION_FORMS: usize = 4;

/// A wave as an operator submits it.
#[derive(Deserialize)]
struct WireWave {
    wave: u64,
    machines: BTreeSet<String>,
    duration_s: f64,
    /// Maximum number of machines that may be down at once.
    max_count: usize,
}

/// HTTP API for workers and operators at a control instance.
#[derive(Debug)]
pub struct ControlCalls {
    bridge: Arc<CallBridge>,
    settings: Settings,
}

impl ControlCalls {
    /// Returns an API that submits calls to `bridge`.
    pub fn new(bridge: Arc<CallBridge>, settings: Settings) -> Self {
        Self { bridge, settings }
    }

    /// Returns the HTTP handler of the API.
    pub fn handler(self) -> Handler {
        handler(Arc::new(self), Self::answer)
    }

    async fn answer(self: Arc<Self>, incoming: Incoming) -> Reply {
        let Incoming {
            head,
            body,
            mut hold,
        } = incoming;
        let path = head.uri.path();
        let call = match parse_call(&head.method, path, &body) {
            Ok(Some(call)) => call,
            Ok(None) => return text(StatusCode::NOT_FOUND, "no such call\n"),
            Err(why) => {
                tracing::info!(path, why, "control: rejected a malformed call");
                return refused(&Refusal::Wrong(why), StatusCode::NOT_FOUND);
            }
        };
        drop(body);
        if !hold.resize(held_bytes(&call)) {
            return no_room(path);
        }
        let reporter = reporter(&call);
        let (answer, hold) = self.bridge.call(call, CALL_TIMEOUT_MS, hold).await;
        match answer {
            Answer::Done => reporter.map_or_else(|| success(&json!({})), |w| self.report_reply(&w)),
            Answer::Configuration(document) => match HeldDocument::new(document, hold) {
                Some(held) => {
                    let body = Bytes::from_owner(held);
                    with_type(StatusCode::OK, "application/json", body)
                }
                None => no_room(path),
            },
            Answer::Wave { completed: true } => success(&json!({ "state": "completed" })),
            Answer::Wave { completed: false } => success(&json!({ "state": "running" })),
            Answer::Refused(refusal) => refused(&refusal, StatusCode::NOT_FOUND),
            Answer::Unknown
            | Answer::LeadLost
            | Answer::NotLeader { .. }
            | Answer::Job(_)
            | Answer::Pending(_) => unknown_outcome(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Returns the reply to a report, with the address for the next one. A worker gets the same
    /// address as long as that instance is available, so that its reports stay in order.
    fn report_reply(&self, worker: &InstanceName) -> Reply {
        let instances = self.bridge.listener_status().report_places;
        let hash = crc32fast::hash(worker.as_str().as_bytes()) as usize;
        let instance = instances.get(hash % instances.len().max(1));
        match instance.and_then(|name| self.settings.control_address(name)) {
            Some(address) => success(&json!({ "heartbeat_addr": address.to_string() })),
            None => success(&json!({})),
        }
    }
}

/// A document that is counted until it has been sent.
struct HeldDocument {
    document: Arc<Vec<u8>>,
    _hold: Hold,
}

impl HeldDocument {
    /// Returns `None` if there is no memory for it.
    fn new(document: Arc<Vec<u8>>, hold: Option<Hold>) -> Option<Self> {
        let mut hold = hold?;
        let fits = hold.resize(document.len());
        fits.then_some(Self {
            document,
            _hold: hold,
        })
    }
}

impl AsRef<[u8]> for HeldDocument {
    fn as_ref(&self) -> &[u8] {
        &self.document
    }
}

/// Returns what a call holds until it is answered, in bytes.
fn held_bytes(call: &Call) -> usize {
    match call {
        Call::Configure(configuration) => CONFIGURATION_FORMS * configuration.document.len(),
        call => call.memory_bytes(),
    }
}

/// Returns the worker whose report a call is.
fn reporter(call: &Call) -> Option<InstanceName> {
    match call {
        Call::Report(report) => Some(report.worker.clone()),
        Call::Since { call, .. } => reporter(call),
        _ => None,
    }
}

/// Adds the start time of the calling worker's process, if it is known.
fn since(started_unix_ms: Option<u64>, call: Call) -> Call {
    match started_unix_ms {
        Some(started_unix_ms) => Call::Since {
            started_unix_ms,
            call: Box::new(call),
        },
        None => call,
    }
}

fn parse_call(method: &Method, path: &str, body: &[u8]) -> Result<Option<Call>, String> {
    if let Some(worker) = path.strip_prefix("/Instances.Heartbeat/") {
        let (started_unix_ms, report) = read_report(worker, body)?;
        return Ok(Some(since(started_unix_ms, Call::Report(Arc::new(report)))));
    }
    if let Some(worker) = path.strip_prefix("/Instances.Deregister/") {
        let call = Call::Leave {
            worker: InstanceName::from(worker),
        };
        return Ok(Some(since(read_leave(body), call)));
    }
    if let Some(wave) = path.strip_prefix("/wave-get/") {
        let wave = wave.parse().map_err(|_| "a wave has a number".to_owned())?;
        return Ok(Some(Call::LookAtWave { wave }));
    }
    Ok(match (method, path) {
        (&Method::POST, "/Config.Replace") => {
            let configuration = read_configuration(body).map_err(|fault| fault.to_string())?;
            Some(Call::Configure(Arc::new(configuration)))
        }
        (&Method::GET, "/Config.Read") => Some(Call::ReadConfiguration),
        (&Method::POST, "/wave-start") => Some(Call::StartWave(read_wave(body)?)),
        _ => None,
    })
}

fn read_wave(body: &[u8]) -> Result<Wave, String> {
    let wire: WireWave = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    Ok(Wave {
        number: wire.wave,
        machines: wire.machines,
        duration_ms: (wire.duration_s.max(0.0) * 1_000.0) as u64,
        down_max: wire.max_count,
        accepted_unix_ms: 0,
        begun: BTreeSet::new(),
        asked: BTreeMap::new(),
    })
}
