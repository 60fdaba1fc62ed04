//! Workers' reports.

use serde::Deserialize;

use crate::control::{Phase, Report};
use crate::jobs::Resources;
use crate::model::InstanceName;

#[derive(Deserialize)]
struct WireReport {
    /// The pool that the machine is in.
    service: String,
    address: std::net::SocketAddr,
    zone: String,
    state: String,
    seq: u64,
    capacity: WireRoom,
    /// The machine's kind, then its rack.
    #[serde(default)]
    labels: Vec<String>,
    machine: Option<String>,
}

#[derive(Deserialize)]
struct WireRoom {
    cpu: u32,
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

/// Where the rack stands among the labels.
const RACK_LABEL: usize = 1;

/// Reads a report of the worker that its path names; other writers' reports, with
/// missing fields, other types or unknown states, name no worker to use.
///
/// # Errors
/// What keeps it from being used.
pub fn read_report(worker: &str, body: &[u8]) -> Result<Report, String> {
    let wire: WireReport = serde_json::from_slice(body).map_err(|err| err.to_string())?;
    let phase = match wire.state.as_str() {
        "ready" => Phase::Ready,
        "draining" => Phase::Draining,
        other => return Err(format!("the state {other} is not known")),
    };
    if worker.is_empty() {
        return Err("the path names no worker".to_owned());
    }
    let rack = wire.labels.get(RACK_LABEL).cloned();
    Ok(Report {
        worker: InstanceName::from(worker),
        machine: wire.machine,
        pool: wire.service.into(),
        address: wire.address,
        zone: wire.zone.into(),
        rack: rack.map(Into::into),
        labels: wire.labels,
        capacity: Resources {
            cpu_milli: wire.capacity.cpu,
            memory_mb: wire.capacity.mem_mb,
            accelerators: wire.capacity.gpu,
        },
        phase,
        sequence: wire.seq,
    })
}
