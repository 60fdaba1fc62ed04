//! Orders to the keeper of the machines, and its list.

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

/// How long an answer is waited for; the keeper may be slow.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Carries out an order, which is given to the client at once.
pub(super) fn order(
    client: &Rc<Client>,
    keeper: SocketAddr,
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
        .header("host", keeper.to_string())
        .header("content-type", "application/json")
        .header("lease-holder", holder)
        .header("fencing-token", order.fence)
        .body(Full::new(Bytes::from(body.to_string())));
    let call = request.map(|request| client.call(keeper, request, TIMEOUT));
    async move {
        let machine = order.machine;
        let Ok(call) = call else {
            tracing::error!(machine, "machine: an order cannot be written");
            return MachineOutcome::Unanswered;
        };
        match call.await {
            Ok((status, body)) => {
                let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
                let reason = answer.get("reason").and_then(Value::as_str);
                read(status.as_u16(), reason)
            }
            Err(err) => {
                tracing::info!(machine, %err, "machine: an order is not answered");
                MachineOutcome::Unanswered
            }
        }
    }
}

fn read(status: u16, reason: Option<&str>) -> MachineOutcome {
    match (status, reason) {
        (200..=299, _) => MachineOutcome::Done,
        (409, Some("fence")) => MachineOutcome::Fenced,
        (409, Some("wave")) | (400, _) => MachineOutcome::NoSuchMachine,
        (409, _) => MachineOutcome::Busy,
        (429 | 503, _) => MachineOutcome::Overloaded,
        _ => MachineOutcome::Unanswered,
    }
}

/// Pages that are read of one list at most; each has some hundred machines.
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
    /// The incarnation that runs on it.
    id: Option<String>,
}

/// Reads the whole list; none if a page is missing.
pub(super) async fn list(client: &Rc<Client>, keeper: SocketAddr) -> Option<Vec<Machine>> {
    let mut machines = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..PAGES_MAX {
        let path = match &token {
            Some(token) => format!("/machines?page_token={token}"),
            None => "/machines".to_owned(),
        };
        let request = Request::get(path).header("host", keeper.to_string());
        let request = request.body(Full::new(Bytes::new())).ok()?;
        let (status, body) = client
            .call(keeper, request, TIMEOUT)
            .await
            .map_err(|err| tracing::info!(%err, "machine: the list is not answered"))
            .ok()?;
        if !status.is_success() {
            tracing::info!(%status, "machine: the list is refused");
            return None;
        }
        let page: Page = serde_json::from_slice(&body)
            .map_err(|err| tracing::warn!(%err, "machine: the list cannot be read"))
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

/// An entry of another writer names no machine to use.
fn read_machine(entry: Value) -> Option<Machine> {
    let wire: WireMachine = serde_json::from_value(entry)
        .map_err(|err| tracing::warn!(%err, "machine: an entry cannot be read"))
        .ok()?;
    let phase = match wire.state.as_str() {
        "up" => MachinePhase::Up,
        "moving" => MachinePhase::Moving,
        "upkeep" => MachinePhase::Upkeep,
        "down" => MachinePhase::Down,
        other => {
            tracing::warn!(state = other, "machine: an entry's state is not known");
            return None;
        }
    };
    let worker = wire.id.filter(|id| !id.is_empty());
    Some(Machine {
        name: wire.machine,
        pool: wire.pool.into(),
        phase,
        worker: worker.map(Into::into),
    })
}
