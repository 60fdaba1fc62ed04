use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::replies::{refused, success, unknown_outcome};
use super::reports::read_leave;
use super::{Settings, read_configuration, read_report};
use crate::control::{Answer, Call, CallBridge, Refusal, Wave};
use crate::http::{Handler, Incoming, Reply, handler, text, with_type};
use crate::model::InstanceName;

/// Timeout of a call. Workers and operators stop waiting for an answer after a second.
const CALL_TIMEOUT_MS: u64 = 900;

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
        let path = incoming.head.uri.path();
        let call = match parse_call(&incoming.head.method, path, &incoming.body) {
            Ok(Some(call)) => call,
            Ok(None) => return text(StatusCode::NOT_FOUND, "no such call\n"),
            Err(why) => {
                tracing::info!(path, why, "control: rejected a malformed call");
                return refused(&Refusal::Wrong(why), StatusCode::NOT_FOUND);
            }
        };
        let reporter = reporter(&call);
        match self.bridge.call(call, CALL_TIMEOUT_MS).await {
            Answer::Done => reporter.map_or_else(|| success(&json!({})), |w| self.report_reply(&w)),
            Answer::Configuration(document) => with_type(
                StatusCode::OK,
                "application/json",
                Bytes::from(document.to_vec()),
            ),
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
