//! Advice requests to the placement advisor.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use serde_json::json;

use super::Client;
use crate::jobs::TaskId;
use crate::model::InstanceName;

#[derive(Deserialize)]
struct Advice {
    /// Pairs of a worker incarnation and its ticket.
    allowed: Vec<(String, String)>,
}

/// Asks the advisor which of `workers` may run a step. Returns `None` without a valid answer.
pub(super) async fn request_advice(
    client: &Rc<Client>,
    advisor: SocketAddr,
    step: TaskId,
    workers: &[InstanceName],
    timeout: Duration,
) -> Option<Vec<(InstanceName, String)>> {
    let name = format!("{}.{}.{}", step.job, step.occurrence, step.step);
    let workers: Vec<&str> = workers.iter().map(InstanceName::as_str).collect();
    let body = json!({"step": name, "workers": workers}).to_string();
    let request = Request::post("/advise")
        .header("host", advisor.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    match client.call(advisor, request, timeout).await {
        Ok((status, body)) if status.is_success() => {
            let advice: Advice = serde_json::from_slice(&body)
                .map_err(|err| tracing::warn!(%err, "advisor: cannot decode an answer"))
                .ok()?;
            let allowed = advice.allowed.into_iter();
            Some(allowed.map(|(id, ticket)| (id.into(), ticket)).collect())
        }
        Ok((status, _)) => {
            tracing::info!(%status, step = name, "advisor: an advice request was refused");
            None
        }
        Err(err) => {
            tracing::info!(%err, step = name, "advisor: an advice request was not answered");
            None
        }
    }
}
