//! Orders to workers: encoding of the requests and decoding of the answers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use super::cell::Cell;
use super::{Client, ClientError};
use crate::control::{Ended, Order, OrderKind, OrderOutcome, Rejection, Running};
use crate::jobs::RunResult;

/// Header with the worker incarnation that an order is addressed to.
const INCARNATION_HEADER: &str = "expect-instance";

#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    attempt: u32,
    spec: &'a str,
    /// End of the worker's lease on the worker's clock. It is not a deadline of the task.
    deadline_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    checkpoint: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Serialize)]
struct StopBody {
    task: String,
    attempt: u32,
    fencing_token: u64,
}

#[derive(Serialize)]
struct RenewBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fencing_token: u64,
    ack_seq: u64,
    wait_ms: u64,
}

#[derive(Serialize)]
struct PaceBody {
    task: String,
    attempt: u32,
    percent: u8,
    fencing_token: u64,
}

#[derive(Default, Deserialize)]
struct ShortAnswer {
    clock_ms: Option<u64>,
    reason: Option<String>,
}

#[derive(Deserialize)]
struct Listing<'a> {
    clock_ms: u64,
    /// Start of the worker's process, in milliseconds since 1970.
    born: Option<u64>,
    #[serde(default, borrow)]
    running: Vec<Cell<'a>>,
    #[serde(default, borrow)]
    finished: Vec<Cell<'a>>,
}

/// Sends an order. It is passed to the client before the returned future is polled, so that
/// [`Client::abort`] covers it.
pub(super) fn order(
    client: &Rc<Client>,
    order: Order,
) -> impl Future<Output = OrderOutcome> + use<> {
    let (path, body) = encode(&order);
    let request = Request::post(path)
        .header("host", order.address.to_string())
        .header("content-type", "application/json")
        .header(INCARNATION_HEADER, order.worker.as_str())
        .body(Full::new(Bytes::from(body)));
    let timeout = Duration::from_millis(order.timeout_ms);
    let call = request.map(|request| client.call(order.address, request, timeout));
    async move {
        let Ok(call) = call else {
            tracing::error!(worker = %order.worker, "worker: cannot build the request for an order");
            return OrderOutcome::Unanswered;
        };
        match call.await {
            Ok((status, body)) => decode_outcome(&order.kind, status, &body),
            Err(ClientError::NotSent) => {
                tracing::debug!(worker = %order.worker, "worker: an order was not sent");
                OrderOutcome::NotSent
            }
            Err(err) => {
                tracing::debug!(worker = %order.worker, %err, "worker: an order was not answered");
                OrderOutcome::Unanswered
            }
        }
    }
}

fn encode(order: &Order) -> (&'static str, Vec<u8>) {
    let fencing_token = order.fence;
    let (path, body) = match &order.kind {
        OrderKind::Start {
            task,
            attempt,
            payload,
            lease_end_ms,
            checkpoint,
            ticket,
        } => (
            "/run-start",
            serde_json::to_vec(&StartBody {
                task: task.to_string(),
                attempt: *attempt,
                spec: payload,
                deadline_ms: *lease_end_ms,
                fencing_token,
                checkpoint,
                ticket: ticket.as_deref(),
            }),
        ),
        OrderKind::Stop { task, attempt } => (
            "/run-stop",
            serde_json::to_vec(&StopBody {
                task: task.to_string(),
                attempt: *attempt,
                fencing_token,
            }),
        ),
        OrderKind::Renew {
            lease_end_ms,
            acknowledged,
            wait_ms,
        } => (
            "/hold",
            serde_json::to_vec(&RenewBody {
                deadline_ms: *lease_end_ms,
                fencing_token,
                ack_seq: *acknowledged,
                wait_ms: *wait_ms,
            }),
        ),
        OrderKind::Throttle {
            task,
            attempt,
            percent,
        } => (
            "/pace",
            serde_json::to_vec(&PaceBody {
                task: task.to_string(),
                attempt: *attempt,
                percent: *percent,
                fencing_token,
            }),
        ),
    };
    (
        path,
        body.expect("the bodies hold only strings and numbers, which always serialize"),
    )
}

fn decode_outcome(kind: &OrderKind, status: StatusCode, body: &[u8]) -> OrderOutcome {
    if status.is_success() && matches!(kind, OrderKind::Renew { .. }) {
        return read_listing(body);
    }
    let answer: ShortAnswer = serde_json::from_slice(body).unwrap_or_default();
    let clock_ms = answer.clock_ms;
    if status.is_success() {
        return OrderOutcome::Done { clock_ms };
    }
    let reason = match (status.as_u16(), answer.reason.as_deref()) {
        (409, Some("fence")) => Rejection::Fence,
        (409, Some("old")) => Rejection::Old,
        (409, Some("late")) => Rejection::Late,
        (409, Some("room")) => Rejection::Room,
        (409, Some("ticket")) => Rejection::Ticket,
        (421, _) => Rejection::Incarnation,
        (429 | 503, _) => Rejection::Unhealthy,
        (400, _) => Rejection::Malformed,
        (code, reason) => {
            tracing::warn!(
                code,
                reason,
                "worker: unexpected status or reason in an answer"
            );
            return OrderOutcome::Unanswered;
        }
    };
    OrderOutcome::Rejected { reason, clock_ms }
}

/// Decodes the answer to a lease renewal. Rows that cannot be decoded are skipped.
pub fn read_listing(body: &[u8]) -> OrderOutcome {
    match serde_json::from_slice::<Listing<'_>>(body) {
        Ok(listing) => {
            let outcome = OrderOutcome::Listed {
                clock_ms: listing.clock_ms,
                running: read_rows(&listing.running, read_running),
                ended: read_rows(&listing.finished, read_ended),
            };
            match listing.born {
                Some(started_unix_ms) => OrderOutcome::Since {
                    started_unix_ms,
                    outcome: Box::new(outcome),
                },
                None => outcome,
            }
        }
        Err(err) => {
            tracing::warn!(%err, "worker: cannot decode a listing");
            OrderOutcome::Unanswered
        }
    }
}

fn read_rows<T>(rows: &[Cell<'_>], read: impl Fn(&Cell<'_>) -> Option<T>) -> Vec<T> {
    let read = |row| {
        let found = read(row);
        if found.is_none() {
            tracing::warn!(?row, "worker: skipped a malformed row of a listing");
        }
        found
    };
    rows.iter().filter_map(read).collect()
}

/// Decodes a row: task, attempt, checkpoint, percent, gauge.
fn read_running(row: &Cell<'_>) -> Option<Running> {
    Some(Running {
        task: row.get(0)?.as_str()?.parse().ok()?,
        attempt: u32::try_from(row.get(1)?.as_u64()?).ok()?,
        checkpoint: row.get(2)?.as_str()?.to_owned(),
        percent: row.get(3)?.as_f64()?.clamp(0.0, 100.0) as u8,
        gauge: row.get(4).and_then(Cell::as_f64).map(|g| g.max(0.0) as u64),
    })
}

/// Decodes a row: number, task, attempt, outcome, checkpoint.
fn read_ended(row: &Cell<'_>) -> Option<Ended> {
    let ending = match row.get(3)?.as_str()? {
        "done" => RunResult::Done,
        "failed" => RunResult::Failed,
        "stopped" => RunResult::Stopped,
        "lapsed" => RunResult::Lapsed,
        "broken" => RunResult::Broken,
        "alone" => RunResult::Alone,
        _ => return None,
    };
    Some(Ended {
        number: row.get(0)?.as_u64()?,
        task: row.get(1)?.as_str()?.parse().ok()?,
        attempt: u32::try_from(row.get(2)?.as_u64()?).ok()?,
        ending,
        checkpoint: row.get(4).and_then(Cell::as_str).unwrap_or("").to_owned(),
    })
}
