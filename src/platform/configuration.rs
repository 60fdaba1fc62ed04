//! Decoding of the configurations that operators submit.

use serde::Deserialize;

use crate::control::{Advice, Configuration, ConfigurationFault, Queue};
use crate::model::PoolName;

#[derive(Deserialize)]
struct WireConfiguration {
    version: u64,
    /// Queues; the platform calls them routes.
    routes: Vec<WireQueue>,
    /// Pools; the platform calls them services.
    services: Vec<WirePool>,
}

#[derive(Deserialize)]
struct WireQueue {
    name: String,
    host: String,
    path_prefix: String,
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: u64,
    #[serde(default)]
    priority: u32,
    service: String,
    #[serde(default = "default_max_attempts")]
    max_attempts: u32,
    #[serde(default = "default_slack_factor")]
    slack_factor: f64,
    advice: Option<WireAdvice>,
}

#[derive(Deserialize)]
struct WireAdvice {
    #[serde(default)]
    decision_ms: u64,
    #[serde(default)]
    per_worker_ms: u64,
    #[serde(default)]
    validity_ms: u64,
}

#[derive(Deserialize)]
struct WirePool {
    name: String,
    #[serde(default)]
    standby: bool,
}

fn default_max_attempts() -> u32 {
    1
}

fn default_slack_factor() -> f64 {
    1.0
}

/// Decodes a configuration. The result also holds the original document.
///
/// # Errors
/// The document is not JSON, or a field is missing or has a wrong type.
pub fn read_configuration(document: &[u8]) -> Result<Configuration, ConfigurationFault> {
    let wire: WireConfiguration =
        serde_json::from_slice(document).map_err(|err| ConfigurationFault::Unreadable {
            cause: err.to_string(),
        })?;
    let pools = wire.services.into_iter();
    Ok(Configuration {
        version: wire.version,
        queues: wire.routes.into_iter().map(read_queue).collect(),
        pools: pools.map(|p| (PoolName::from(p.name), p.standby)).collect(),
        document: document.to_vec(),
    })
}

fn read_queue(wire: WireQueue) -> Queue {
    Queue {
        name: wire.name,
        host: wire.host,
        path_prefix: wire.path_prefix,
        pool: wire.service.into(),
        priority: wire.priority,
        attempts_max: wire.max_attempts,
        slack_factor: wire.slack_factor,
        target_latency_ms: wire.target_latency_ms,
        timeout_ms: wire.timeout_ms,
        advice: wire.advice.map(|advice| Advice {
            decision_ms: advice.decision_ms,
            per_worker_ms: advice.per_worker_ms,
            validity_ms: advice.validity_ms,
        }),
    }
}
