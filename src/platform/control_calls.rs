use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::incoming::{done, refused, unknown};
use super::{Settings, read_configuration, read_report};
use crate::control::{Answer, Call, Desk, Refusal, Wave};
use crate::http::{Handler, Incoming, Reply, handler, text, with_type};
use crate::model::InstanceName;

/// Workers and operators move on after a second without an answer.
const PATIENCE_MS: u64 = 900;

/// A wave as an operator writes it.
#[derive(Deserialize)]
struct WireWave {
    wave: u64,
    machines: BTreeSet<String>,
    duration_s: f64,
    /// How many may be down at once.
    max_count: usize,
}

/// Workers' and operators' calls at a control instance.
#[derive(Debug)]
pub struct ControlCalls {
    desk: Arc<Desk>,
    settings: Settings,
}

impl ControlCalls {
    /// Calls that are handed in at a desk.
    pub fn new(desk: Arc<Desk>, settings: Settings) -> Self {
        Self { desk, settings }
    }

    /// What answers workers and operators.
    pub fn handler(self) -> Handler {
        handler(Arc::new(self), Self::answer)
    }

    async fn answer(self: Arc<Self>, incoming: Incoming) -> Reply {
        let path = incoming.head.uri.path();
        let call = match read(&incoming.head.method, path, &incoming.body) {
            Ok(Some(call)) => call,
            Ok(None) => return text(StatusCode::NOT_FOUND, "no such call\n"),
            Err(why) => {
                tracing::info!(path, why, "control: a call cannot be used");
                return refused(&Refusal::Wrong(why), StatusCode::NOT_FOUND);
            }
        };
        let reporter = match &call {
            Call::Report(report) => Some(report.worker.clone()),
            _ => None,
        };
        match self.desk.call(call, PATIENCE_MS).await {
            Answer::Done => reporter.map_or_else(|| done(&json!({})), |w| self.report_taken(&w)),
            Answer::Configuration(document) => with_type(
                StatusCode::OK,
                "application/json",
                Bytes::from(document.to_vec()),
            ),
            Answer::Wave { completed: true } => done(&json!({ "state": "completed" })),
            Answer::Wave { completed: false } => done(&json!({ "state": "running" })),
            Answer::Refused(refusal) => refused(&refusal, StatusCode::NOT_FOUND),
            Answer::Unknown
            | Answer::LeadLost
            | Answer::NotLeader { .. }
            | Answer::Job(_)
            | Answer::Pending(_) => unknown(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Names where later reports go: the same place for one worker, as long as it is
    /// there, so that reports do not overtake each other.
    fn report_taken(&self, worker: &InstanceName) -> Reply {
        let places = self.desk.listener_status().report_places;
        let hash = crc32fast::hash(worker.as_str().as_bytes()) as usize;
        let place = places.get(hash % places.len().max(1));
        match place.and_then(|name| self.settings.control_address(name)) {
            Some(address) => done(&json!({ "heartbeat_addr": address.to_string() })),
            None => done(&json!({})),
        }
    }
}

fn read(method: &Method, path: &str, body: &[u8]) -> Result<Option<Call>, String> {
    if let Some(worker) = path.strip_prefix("/Instances.Heartbeat/") {
        return Ok(Some(Call::Report(Arc::new(read_report(worker, body)?))));
    }
    if let Some(worker) = path.strip_prefix("/Instances.Deregister/") {
        return Ok(Some(Call::Leave {
            worker: InstanceName::from(worker),
        }));
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
