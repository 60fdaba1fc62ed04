//! Questions to the advisor.

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
    /// Rows of a worker's incarnation and its ticket.
    allowed: Vec<(String, String)>,
}

/// Asks which workers may run a step; none if there is no answer.
pub(super) async fn ask(
    client: &Rc<Client>,
    advisor: SocketAddr,
    step: TaskId,
    workers: &[InstanceName],
    limit: Duration,
) -> Option<Vec<(InstanceName, String)>> {
    let name = format!("{}.{}.{}", step.job, step.occurrence, step.step);
    let workers: Vec<&str> = workers.iter().map(InstanceName::as_str).collect();
    let body = json!({"step": name, "workers": workers}).to_string();
    let request = Request::post("/advise")
        .header("host", advisor.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    match client.call(advisor, request, limit).await {
        Ok((status, body)) if status.is_success() => {
            let advice: Advice = serde_json::from_slice(&body)
                .map_err(|err| tracing::warn!(%err, "advisor: an answer cannot be read"))
                .ok()?;
            let allowed = advice.allowed.into_iter();
            Some(allowed.map(|(id, ticket)| (id.into(), ticket)).collect())
        }
        Ok((status, _)) => {
            tracing::info!(%status, step = name, "advisor: refused");
            None
        }
        Err(err) => {
            tracing::info!(%err, step = name, "advisor: no answer");
            None
        }
    }
}
