//! Decoding of the configurations that operators submit.

use std::sync::Arc;

use secrecy::SecretString;
use serde::Deserialize;

use crate::control::{
    Access, Advice, Configuration, ConfigurationFault, KeyDigest, Queue, Quota, Workspace,
};
use crate::model::PoolName;

#[derive(Deserialize)]
struct WireConfiguration {
    version: u64,
    /// Queues; the platform calls them routes.
    routes: Vec<WireQueue>,
    /// Pools; the platform calls them services.
    services: Vec<WirePool>,
    /// Workspaces; the platform calls them tenants.
    tenants: Option<Vec<WireWorkspace>>,
}

#[derive(Deserialize)]
struct WireWorkspace {
    name: String,
    api_keys: Vec<SecretString>,
    #[serde(default)]
    priority: i64,
    weight: f64,
    /// Largest sums of resources; 0 is no limit.
    #[serde(default)]
    max_count: WireQuota,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct WireQuota {
    cpu: i64,
    mem_mb: i64,
    gpu: i64,
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
    /// Whether callers need no key.
    anonymous: Option<bool>,
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
/// The document is not JSON, a field is missing or has a wrong type, or a limit is negative.
/// The error shows no value of the document, which may be a key.
pub fn read_configuration(document: &[u8]) -> Result<Configuration, ConfigurationFault> {
    let wire: WireConfiguration =
        serde_json::from_slice(document).map_err(|err| ConfigurationFault::Unreadable {
            cause: describe(&err),
        })?;
    let access = read_access(wire.tenants, &wire.routes)?;
    let pools = wire.services.into_iter();
    Ok(Configuration {
        version: wire.version,
        access,
        queues: wire.routes.into_iter().map(read_queue).collect(),
        pools: pools.map(|p| (PoolName::from(p.name), p.standby)).collect(),
        document: Arc::new(document.to_vec()),
    })
}

/// Describes a decoding error without the value that it is about.
fn describe(err: &serde_json::Error) -> String {
    let text = err.to_string();
    // Of the errors about a well-formed document, only this one quotes no value.
    if text.starts_with("missing field") || !err.is_data() {
        return text;
    }
    format!(
        "a value has a wrong type, line {} column {}",
        err.line(),
        err.column()
    )
}

/// Returns who may call which queue; `None` if the deployment has no workspaces.
fn read_access(
    workspaces: Option<Vec<WireWorkspace>>,
    queues: &[WireQueue],
) -> Result<Option<Access>, ConfigurationFault> {
    let Some(workspaces) = workspaces else {
        // A queue that asks for a key would otherwise be open to anyone.
        return match queues.iter().any(|queue| queue.anonymous.is_some()) {
            true => Err(ConfigurationFault::Unreadable {
                cause: "missing field `tenants`".to_owned(),
            }),
            false => Ok(None),
        };
    };
    let workspaces: Result<Vec<_>, _> = workspaces.into_iter().map(read_workspace).collect();
    let anonymous = queues.iter().filter(|queue| queue.anonymous == Some(true));
    let anonymous = anonymous.map(|queue| queue.name.clone()).collect();
    Ok(Some(Access::new(workspaces?, anonymous)))
}

fn read_workspace(wire: WireWorkspace) -> Result<Workspace, ConfigurationFault> {
    let negative = |field| ConfigurationFault::NegativeLimit {
        workspace: wire.name.clone(),
        field,
    };
    let limit = |value: i64, field| match u64::try_from(value) {
        Ok(0) => Ok(None),
        Ok(limit) => Ok(Some(limit)),
        Err(_) => Err(negative(field)),
    };
    Ok(Workspace {
        quota: Quota {
            cpu_milli: limit(wire.max_count.cpu, "cpu")?,
            memory_mb: limit(wire.max_count.mem_mb, "mem_mb")?,
            accelerators: limit(wire.max_count.gpu, "gpu")?,
        },
        priority: u32::try_from(wire.priority).map_err(|_| negative("priority"))?,
        weight: wire.weight,
        keys: wire.api_keys.iter().map(KeyDigest::of).collect(),
        name: wire.name.as_str().into(),
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
