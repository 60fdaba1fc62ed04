use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::runtime::Runtime;
use ureq::Agent;

use crate::entry::{AttemptEnd, Event, Sending};
use crate::load::{AttemptId, AttemptRefusal, RequestId};
use crate::model::EntryName;
use crate::upstream_api as api;

use super::callers::EventSink;

/// Attempts in flight at once from one entry instance; each holds a thread.
const THREADS_MAX: usize = 1024;
/// Bound on connecting: longer than any healthy path between zones, short enough
/// that another instance can still be tried.
const CONNECT: Duration = Duration::from_millis(500);
/// A connection idle for longer is not used again: something on the way may have
/// forgotten it, and the next request on it would be swallowed.
const IDLE_MAX: Duration = Duration::from_secs(5);
/// Bound on asking for a checkpoint; without an answer the attempt runs on.
const CHECKPOINT: Duration = Duration::from_secs(2);
/// Largest answer passed on.
const ANSWER_MAX_BYTES: u64 = 16 * 1024 * 1024;

/// What can go wrong when the edge is set up.
#[derive(Debug, derive_more::Display, derive_more::Error, derive_more::From)]
pub enum OutgoingError {
    /// The threads cannot be set up.
    #[display("outgoing requests: {_0}")]
    Io(std::io::Error),
}

/// Sends attempts to upstreams, each in a thread of a bounded pool.
pub struct Outgoing {
    runtime: Runtime,
    events: EventSink,
    id_prefix: Arc<str>,
    agents: Arc<Mutex<BTreeMap<String, Agent>>>,
}

impl Outgoing {
    /// An edge that hands what happened to `events`. Request ids begin with the
    /// entry instance and its incarnation, so that no two are alike.
    ///
    /// # Errors
    /// The thread pool cannot be set up.
    pub fn new(me: &EntryName, incarnation: u64, events: EventSink) -> Result<Self, OutgoingError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .max_blocking_threads(THREADS_MAX)
            .thread_name("outgoing")
            .build()?;
        Ok(Self {
            runtime,
            events,
            id_prefix: format!("{me}-{incarnation}").into(),
            agents: Arc::default(),
        })
    }

    /// Sends an attempt; its end comes back as [`Event::AttemptEnded`].
    pub fn send(&self, sending: Sending) {
        let events = Arc::clone(&self.events);
        let agents = Arc::clone(&self.agents);
        let prefix = Arc::clone(&self.id_prefix);
        self.runtime.spawn_blocking(move || {
            let start = Instant::now();
            let agent = agent_for(&agents, &sending.address);
            let end = attempt(&agent, &prefix, &sending);
            if end == AttemptEnd::Lost {
                // The connection may be one that went silent: the next request
                // gets a new one. The upstream itself is not judged here.
                lock(&agents).remove(&sending.address);
            }
            let run_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
            events(Event::AttemptEnded {
                request: sending.request,
                attempt: sending.attempt,
                run_us,
                end,
            });
        });
    }

    /// Asks an upstream to stop an attempt and hand out a checkpoint, which
    /// comes as the attempt's end. One that knows no checkpoints goes on.
    pub fn checkpoint(&self, address: String, request: RequestId, attempt: AttemptId) {
        let agent = agent_for(&self.agents, &address);
        let body = serde_json::json!({
            "request": format!("{}-{request}", self.id_prefix),
            "attempt": attempt.0,
        });
        self.runtime.spawn_blocking(move || {
            let asked = agent
                .post(format!("http://{address}/stop"))
                .config()
                .timeout_global(Some(CHECKPOINT))
                .build()
                .send_json(body);
            if let Err(err) = asked {
                tracing::debug!("outgoing: {address} was not asked for a checkpoint: {err}");
            }
        });
    }
}

fn lock(
    agents: &Mutex<BTreeMap<String, Agent>>,
) -> std::sync::MutexGuard<'_, BTreeMap<String, Agent>> {
    agents.lock().unwrap_or_else(PoisonError::into_inner)
}

fn agent_for(agents: &Mutex<BTreeMap<String, Agent>>, address: &str) -> Agent {
    lock(agents)
        .entry(address.to_owned())
        .or_insert_with(new_agent)
        .clone()
}

fn new_agent() -> Agent {
    Agent::config_builder()
        .max_redirects(0)
        .http_status_as_error(false)
        .proxy(None)
        .timeout_connect(Some(CONNECT))
        .max_idle_age(IDLE_MAX)
        .max_idle_connections(256)
        .max_idle_connections_per_host(64)
        .build()
        .into()
}

fn attempt(agent: &Agent, prefix: &str, sending: &Sending) -> AttemptEnd {
    let mut request = agent
        .post(format!("http://{}/run", sending.address))
        .config()
        .timeout_global(Some(Duration::from_millis(sending.timeout_ms)))
        .build()
        .header(api::REQUEST, format!("{prefix}-{}", sending.request))
        .header(api::ATTEMPT, sending.attempt.to_string())
        .header(api::SERVICE, sending.service.as_str())
        .header(api::POOL, sending.pool.as_str())
        .header(api::POOL_EPOCH, sending.pool_epoch.to_string())
        .header(api::INCARNATION, sending.incarnation.to_string())
        .header(api::CLASS, sending.class.to_string())
        .header(api::IDEMPOTENT, sending.idempotent.to_string());
    if let Some(key) = &sending.key {
        request = request.header(api::KEY, key.as_str());
    }
    if let Some(checkpoint) = &sending.checkpoint {
        request = request.header(
            api::CHECKPOINT,
            String::from_utf8_lossy(checkpoint).as_ref(),
        );
    }
    if let Some(fence) = sending.fence {
        request = request.header(api::FENCE, fence.to_string());
    }
    match request.send(&sending.body[..]) {
        Ok(response) => whole(response),
        Err(err) => ended_early(&err),
    }
}

fn whole(mut response: http::Response<ureq::Body>) -> AttemptEnd {
    let refused = response.headers().get(api::REFUSED);
    if let Some(refusal) = refused.and_then(|value| refusal_of(value.as_bytes())) {
        return AttemptEnd::Refused(refusal);
    }
    if response.status() == http::StatusCode::ACCEPTED
        && let Some(checkpoint) = response.headers().get(api::CHECKPOINT)
    {
        let data = checkpoint.as_bytes().to_vec();
        return AttemptEnd::Checkpoint { data };
    }
    // A body that ends with its connection cannot be told from one cut short.
    let bounded = response
        .headers()
        .contains_key(http::header::CONTENT_LENGTH)
        || response
            .headers()
            .contains_key(http::header::TRANSFER_ENCODING);
    if !bounded {
        return AttemptEnd::Lost;
    }
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(ANSWER_MAX_BYTES)
        .read_to_vec();
    match body {
        Ok(body) => AttemptEnd::Answer { status, body },
        Err(_) => AttemptEnd::Lost,
    }
}

fn refusal_of(value: &[u8]) -> Option<AttemptRefusal> {
    match value {
        b"busy" => Some(AttemptRefusal::Busy),
        b"leaving" => Some(AttemptRefusal::Leaving),
        b"stale-epoch" => Some(AttemptRefusal::StaleEpoch),
        _ => None,
    }
}

/// Only a connection that was never made proves that no byte was sent; any other
/// error may have come after the upstream had read the request.
fn ended_early(err: &ureq::Error) -> AttemptEnd {
    match err {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            AttemptEnd::Refused(AttemptRefusal::ConnectFailed)
        }
        ureq::Error::Io(err) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            AttemptEnd::Refused(AttemptRefusal::ConnectFailed)
        }
        _ => AttemptEnd::Lost,
    }
}
