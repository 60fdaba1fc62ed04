//! Orders to the machine manager, and its list of machines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use serde_json::{Value, json};

use super::Client;
use crate::control::{Machine, MachineOrder, MachineOrderKind, MachineOutcome, MachinePhase};

/// Timeout of a request. The machine manager may be slow.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sends an order. It is passed to the client before the returned future is polled, so that
/// [`Client::abort`] covers it.
pub(super) fn order(
    client: &Rc<Client>,
    machine_manager: SocketAddr,
    holder: &str,
    order: MachineOrder,
) -> impl Future<Output = MachineOutcome> + use<> {
    let (path, body) = match &order.kind {
        MachineOrderKind::Upkeep { wave } => (
            "/machine-upkeep",
            json!({"machine": order.machine, "wave": wave}),
        ),
        MachineOrderKind::Move { pool } => (
            "/machine-move",
            json!({"machine": order.machine, "pool": pool.as_str()}),
        ),
    };
    let request = Request::post(path)
        .header("host", machine_manager.to_string())
        .header("content-type", "application/json")
        .header("lease-holder", holder)
        .header("fencing-token", order.fence)
        .body(Full::new(Bytes::from(body.to_string())));
    let call = request.map(|request| client.call(machine_manager, request, REQUEST_TIMEOUT));
    async move {
        let machine = order.machine;
        let Ok(call) = call else {
            tracing::error!(machine, "machine: cannot build the request for an order");
            return MachineOutcome::Unanswered;
        };
        match call.await {
            Ok((status, body)) => {
                let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
                let reason = answer.get("reason").and_then(Value::as_str);
                decode_outcome(status.as_u16(), reason)
            }
            Err(err) => {
                tracing::info!(machine, %err, "machine: an order was not answered");
                MachineOutcome::Unanswered
            }
        }
    }
}

fn decode_outcome(status: u16, reason: Option<&str>) -> MachineOutcome {
    match (status, reason) {
        (200..=299, _) => MachineOutcome::Done,
        (409, Some("fence")) => MachineOutcome::Fenced,
        (409, Some("wave")) | (400, _) => MachineOutcome::NoSuchMachine,
        (409, _) => MachineOutcome::Busy,
        (429 | 503, _) => MachineOutcome::Overloaded,
        _ => MachineOutcome::Unanswered,
    }
}

/// Maximum number of pages of one list. A page holds some hundred machines.
const PAGES_MAX: usize = 500;

#[derive(Deserialize)]
struct Page {
    machines: Vec<Value>,
    next_token: Option<Value>,
}

#[derive(Deserialize)]
struct WireMachine {
    machine: String,
    pool: String,
    state: String,
    zone: Option<String>,
    /// Incarnation of the worker that runs on the machine.
    id: Option<String>,
}

/// Fetches the list of machines. Returns `None` if a page is missing.
pub(super) async fn list(client: &Rc<Client>, machine_manager: SocketAddr) -> Option<Vec<Machine>> {
    let mut machines = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..PAGES_MAX {
        let path = match &token {
            Some(token) => format!("/machines?page_token={token}"),
            None => "/machines".to_owned(),
        };
        let request = Request::get(path).header("host", machine_manager.to_string());
        let request = request.body(Full::new(Bytes::new())).ok()?;
        let (status, body) = client
            .call(machine_manager, request, REQUEST_TIMEOUT)
            .await
            .map_err(|err| tracing::info!(%err, "machine: a request for the list was not answered"))
            .ok()?;
        if !status.is_success() {
            tracing::info!(%status, "machine: a request for the list was refused");
            return None;
        }
        let page: Page = serde_json::from_slice(&body)
            .map_err(|err| tracing::warn!(%err, "machine: cannot decode a page of the list"))
            .ok()?;
        machines.extend(page.machines.into_iter().filter_map(read_machine));
        token = match page.next_token {
            None | Some(Value::Null) => return Some(machines),
            Some(Value::String(token)) if token.is_empty() => return Some(machines),
            Some(Value::String(token)) => Some(token),
            Some(token) => Some(token.to_string()),
        };
    }
    None
}

/// Decodes an entry of the list. Returns `None` for a malformed entry or an unknown state.
fn read_machine(entry: Value) -> Option<Machine> {
    let wire: WireMachine = serde_json::from_value(entry)
        .map_err(|err| tracing::warn!(%err, "machine: skipped a malformed entry of the list"))
        .ok()?;
    let phase = match wire.state.as_str() {
        "up" => MachinePhase::Up,
        "moving" => MachinePhase::Moving,
        "upkeep" => MachinePhase::Upkeep,
        "down" => MachinePhase::Down,
        other => {
            tracing::warn!(state = other, "machine: skipped an entry of unknown state");
            return None;
        }
    };
    let worker = wire.id.filter(|id| !id.is_empty());
    Some(Machine {
        name: wire.machine,
        pool: wire.pool.into(),
        phase,
        zone: wire.zone.map(Into::into),
        worker: worker.map(Into::into),
    })
}
