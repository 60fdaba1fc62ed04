//! Orders to the keeper of the machines.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};

use super::Client;
use crate::control::{MachineOrder, MachineOrderKind, MachineOutcome};

/// How long an answer is waited for; the keeper may be slow.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Carries out an order.
pub(super) async fn order(
    client: &Client,
    keeper: SocketAddr,
    holder: &str,
    order: MachineOrder,
) -> MachineOutcome {
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
    let Ok(request) = request else {
        tracing::error!(
            machine = order.machine,
            "machine: an order cannot be written"
        );
        return MachineOutcome::Unanswered;
    };
    match client.call(keeper, request, TIMEOUT).await {
        Ok((status, body)) => {
            let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
            read(
                status.as_u16(),
                answer.get("reason").and_then(Value::as_str),
            )
        }
        Err(err) => {
            tracing::info!(machine = order.machine, %err, "machine: an order is not answered");
            MachineOutcome::Unanswered
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
