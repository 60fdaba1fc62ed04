//! Decoding of workers' heartbeat reports.

use serde::Deserialize;

use super::BoundedList;
use crate::control::{Phase, Report};
use crate::jobs::Resources;
use crate::model::InstanceName;

#[derive(Deserialize)]
struct WireReport {
    /// The machine's pool.
    service: String,
    address: std::net::SocketAddr,
    zone: String,
    state: String,
    seq: u64,
    capacity: WireResources,
    /// The machine's kind, followed by its rack.
    #[serde(default)]
    labels: BoundedList<String, MAX_LABELS>,
    machine: Option<String>,
    /// Start of the worker's process, in milliseconds since 1970.
    born: Option<u64>,
}

#[derive(Default, Deserialize)]
struct WireLeave {
    born: Option<u64>,
}

#[derive(Deserialize)]
struct WireResources {
    cpu: u32,
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

/// Maximum number of labels of a worker, which has a kind and a rack.
const MAX_LABELS: usize = 1_024;
/// Maximum size of all names and labels of a worker, which are stored.
const MAX_TEXT_BYTES: usize = 64 << 10;
/// Index of the rack among the labels.
const RACK_LABEL_INDEX: usize = 1;

/// Decodes the report of the worker that is named in the request path, and the start time of
/// its process, if it says so. A report with missing fields, other types or an unknown state
/// is rejected, because it does not describe a usable worker.
///
/// # Errors
/// Returns the reason why the report is rejected.
pub fn read_report(worker: &str, body: &[u8]) -> Result<(Option<u64>, Report), String> {
    let wire: WireReport = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    let phase = match wire.state.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        other => return Err(format!("the state {other} is not known")),
    };
    if worker.is_empty() {
        return Err("the path names no worker".to_owned());
    }
    let labels = wire.labels.0;
    let rack = labels.get(RACK_LABEL_INDEX).cloned();
    let report = Report {
        worker: InstanceName::from(worker),
        machine: wire.machine,
        pool: wire.service.into(),
        address: wire.address,
        zone: wire.zone.into(),
        rack: rack.map(Into::into),
        labels,
        capacity: Resources {
            cpu_milli: wire.capacity.cpu,
            memory_mb: wire.capacity.mem_mb,
            accelerators: wire.capacity.gpu,
        },
        phase,
        sequence: wire.seq,
    };
    let text_bytes = report.text_bytes();
    if text_bytes > MAX_TEXT_BYTES {
        return Err(format!(
            "names and labels have {text_bytes} bytes: {MAX_TEXT_BYTES} are the most"
        ));
    }
    Ok((wire.born, report))
}

/// Returns the start time of a worker's process that a departure says, if it says one.
pub(super) fn read_leave(body: &[u8]) -> Option<u64> {
    serde_json::from_slice::<WireLeave>(body)
        .unwrap_or_default()
        .born
}
