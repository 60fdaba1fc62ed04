use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use tokio::time::sleep;

use super::answer_body::AnswerBody;
use super::member::{Member, lock};
use crate::unix_time::unix_ms;
use crate::upstream_api as api;

use super::{CutShort, Faults, Host, Refusal, RunEnd, RunRecord};

/// Largest request body read. Far above what the tools send; without a bound
/// one wrong request takes the stand-in, and the experiment, out of memory.
const BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Where a request came in.
#[derive(Clone, Debug)]
pub(super) enum Scope {
    /// At an instance's own port.
    Instance(Arc<Member>),
    /// At the control port of the process.
    Control,
}

/// Body of `POST /faults`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultsChange {
    /// Instances it is for; all if empty.
    #[serde(default)]
    instances: Vec<String>,
    faults: Faults,
}

/// Body of `POST /leave` at the control port.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaveChange {
    instances: Vec<String>,
}

/// Body of `POST /stop`.
#[derive(Debug, Deserialize)]
struct StopChange {
    request: String,
    attempt: u64,
}

/// One line of `GET /instances`.
#[derive(Debug, Serialize)]
struct InstanceView {
    name: String,
    address: String,
    incarnation: u64,
    standing: String,
    pool: String,
    pool_epoch: u64,
    running: u32,
    peak_running: u32,
    refused_busy: u64,
    last_refused_ms: Option<u64>,
    faults: Faults,
}

/// Proof in an answer of what was run.
#[derive(Debug, Serialize)]
struct Proof<'a> {
    echo: &'a str,
    key: Option<&'a str>,
    instance: &'a str,
    run: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    pad: &'a str,
}

type Reply = Response<AnswerBody>;

/// Answers one request.
pub(super) async fn answer(
    host: &Arc<Host>,
    scope: &Scope,
    request: Request<Incoming>,
) -> Result<Reply, Infallible> {
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let Ok(body) = Limited::new(body, BODY_LIMIT_BYTES).collect().await else {
        return Ok(text(
            StatusCode::BAD_REQUEST,
            "the body ended early or is too large",
        ));
    };
    let body = body.to_bytes();
    Ok(match (&head.method, path.as_str(), scope) {
        (&Method::POST, "/run", Scope::Instance(member)) => {
            run(host, member, &head.headers, body).await
        }
        (&Method::POST, "/stop", Scope::Instance(member)) => stop(member, &body),
        (&Method::POST, "/leave", Scope::Instance(member)) => {
            member.leave(unix_ms());
            text(StatusCode::OK, "")
        }
        (&Method::GET, "/runs", scope) => runs(host, scope),
        (&Method::GET, "/instances", Scope::Control) => instances(host),
        (&Method::POST, "/faults", Scope::Control) => set_faults(host, &body),
        (&Method::POST, "/leave", Scope::Control) => leave(host, &body),
        _ => text(StatusCode::NOT_FOUND, "no such path here"),
    })
}

/// Counts a run as ended when its future is dropped, so that a connection that
/// goes away, or an instance that dies, frees the slot and is on record.
struct Running<'a> {
    host: &'a Host,
    member: &'a Member,
    record: &'a RunRecord,
    end: RunEnd,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let now_ms = unix_ms();
        self.member
            .forget_stop(&self.record.request, self.record.attempt);
        self.member.worker().end(now_ms, self.record.incarnation);
        lock(&self.host.runs).end(now_ms, self.record.run, self.end);
        self.member.changed.notify_one();
    }
}

async fn run(host: &Arc<Host>, member: &Arc<Member>, headers: &HeaderMap, body: Bytes) -> Reply {
    let Some(mut record) = record(member, headers, &body) else {
        return text(
            StatusCode::BAD_REQUEST,
            "a header is missing or not a number",
        );
    };
    let admitted = member.worker().admit(
        record.started_ms,
        record.incarnation,
        &record.pool,
        record.pool_epoch,
    );
    if let Err(refusal) = admitted {
        return refuse(refusal);
    }
    record.run = host.start_run(record.clone());
    let faults = member.worker().faults().clone();
    let work_ms = work_ms(host, headers, &record.service, &faults);
    let done_ms = checkpoint(headers).min(work_ms);
    if faults.orphans {
        let (host, member) = (Arc::clone(host), Arc::clone(member));
        let task = async move { work(&host, &member, record, &faults, work_ms, done_ms).await };
        // The task goes on when this future is dropped with its connection.
        return tokio::spawn(task)
            .await
            .unwrap_or_else(|_| text(StatusCode::INTERNAL_SERVER_ERROR, ""));
    }
    work(host, member, record, &faults, work_ms, done_ms).await
}

async fn work(
    host: &Host,
    member: &Member,
    record: RunRecord,
    faults: &Faults,
    work_ms: u64,
    done_ms: u64,
) -> Reply {
    let mut running = Running {
        host,
        member,
        record: &record,
        end: RunEnd::Abandoned,
    };
    let stopped = member.watch_stop(&record.request, record.attempt);
    if faults.silent {
        std::future::pending::<()>().await;
    }
    if faults.fail_everything {
        running.end = RunEnd::Failed;
        return proof(
            host,
            &record,
            StatusCode::INTERNAL_SERVER_ERROR,
            faults.cut_short,
        );
    }
    tokio::select! {
        () = sleep(Duration::from_millis(work_ms - done_ms)) => {
            running.end = RunEnd::Finished;
            proof(host, &record, StatusCode::OK, faults.cut_short)
        }
        Ok(()) = stopped => {
            running.end = RunEnd::Checkpointed;
            let ran_ms = unix_ms().saturating_sub(record.started_ms);
            checkpointed((done_ms + ran_ms).min(work_ms))
        }
    }
}

/// What the request says of itself; none if a header is missing or malformed.
fn record(member: &Member, headers: &HeaderMap, body: &[u8]) -> Option<RunRecord> {
    Some(RunRecord {
        run: 0,
        instance: member.worker().spec().name.to_string(),
        incarnation: header(headers, api::INCARNATION)?.parse().ok()?,
        request: header(headers, api::REQUEST)?.to_owned(),
        attempt: header(headers, api::ATTEMPT)?.parse().ok()?,
        service: header(headers, api::SERVICE)?.to_owned(),
        pool: header(headers, api::POOL)?.to_owned(),
        pool_epoch: header(headers, api::POOL_EPOCH)?.parse().ok()?,
        key: header(headers, api::KEY).map(str::to_owned),
        idempotent: header(headers, api::IDEMPOTENT)?.parse().ok()?,
        fence: match header(headers, api::FENCE) {
            Some(fence) => Some(fence.parse().ok()?),
            None => None,
        },
        body_sha256: hex(&Sha256::digest(body)),
        started_ms: unix_ms(),
        ended_ms: None,
        end: RunEnd::Running,
    })
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// How long the whole request takes, in milliseconds.
fn work_ms(host: &Host, headers: &HeaderMap, service: &str, faults: &Faults) -> u64 {
    let given_ms = header(headers, "rg-run-ms").and_then(|ms| ms.parse().ok());
    let real_ms = given_ms.unwrap_or_else(|| lock(&host.run_times).draw(service));
    real_ms.saturating_mul(u64::from(faults.slow_percent)) / 100
}

/// How much of the work an earlier attempt did, in milliseconds.
fn checkpoint(headers: &HeaderMap) -> u64 {
    header(headers, "rg-checkpoint")
        .and_then(|hex| u64::from_str_radix(hex, 16).ok())
        .unwrap_or(0)
}

fn checkpointed(done_ms: u64) -> Reply {
    let mut reply = text(StatusCode::ACCEPTED, "");
    if let Ok(value) = format!("{done_ms:016x}").parse() {
        reply.headers_mut().insert("rg-checkpoint", value);
    }
    reply
}

fn proof(host: &Host, record: &RunRecord, status: StatusCode, cut: CutShort) -> Reply {
    let pad = "x".repeat(host.pad_bytes);
    let proof = Proof {
        echo: &record.body_sha256,
        key: record.key.as_deref(),
        instance: &record.instance,
        run: record.run,
        pad: &pad,
    };
    // A proof holds only strings and a number, so it always serialises.
    let bytes = serde_json::to_vec(&proof).unwrap_or_default();
    let mut reply = Response::new(AnswerBody::new(bytes, cut));
    *reply.status_mut() = status;
    reply
}

fn refuse(refusal: Refusal) -> Reply {
    let mut reply = text(StatusCode::SERVICE_UNAVAILABLE, "");
    if let Ok(value) = refusal.to_string().parse() {
        reply.headers_mut().insert(api::REFUSED, value);
    }
    reply
}

fn stop(member: &Member, body: &[u8]) -> Reply {
    match serde_json::from_slice::<StopChange>(body) {
        Ok(change) if member.stop(&change.request, change.attempt) => text(StatusCode::OK, ""),
        Ok(_) => text(StatusCode::NOT_FOUND, "that attempt does not run here"),
        Err(e) => text(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

fn runs(host: &Host, scope: &Scope) -> Reply {
    let name = match scope {
        Scope::Instance(member) => Some(member.worker().spec().name.to_string()),
        Scope::Control => None,
    };
    text(
        StatusCode::OK,
        &lock(&host.runs).to_json_lines(name.as_deref()),
    )
}

fn instances(host: &Host) -> Reply {
    let now_ms = unix_ms();
    let view = |member: &Arc<Member>| {
        let worker = member.worker();
        let (pool, pool_epoch) = worker.pool();
        let (running, peak_running) = worker.running();
        InstanceView {
            name: worker.spec().name.to_string(),
            address: worker.address().to_owned(),
            incarnation: worker.incarnation(),
            standing: worker.standing(now_ms).to_string(),
            pool: pool.to_string(),
            pool_epoch,
            running,
            peak_running,
            refused_busy: worker.refused_busy(),
            last_refused_ms: worker.last_refused_ms(),
            faults: worker.faults().clone(),
        }
    };
    let views: Vec<_> = host.members.iter().map(view).collect();
    // Views hold only strings and numbers, so they always serialise.
    text(
        StatusCode::OK,
        &serde_json::to_string(&views).unwrap_or_default(),
    )
}

fn set_faults(host: &Host, body: &[u8]) -> Reply {
    let change: FaultsChange = match serde_json::from_slice(body) {
        Ok(change) => change,
        Err(e) => return text(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    for member in chosen(host, &change.instances) {
        member.worker().set_faults(change.faults.clone());
        member.changed.notify_one();
    }
    text(StatusCode::OK, "")
}

fn leave(host: &Host, body: &[u8]) -> Reply {
    match serde_json::from_slice::<LeaveChange>(body) {
        Ok(change) => {
            for member in chosen(host, &change.instances) {
                member.leave(unix_ms());
            }
            text(StatusCode::OK, "")
        }
        Err(e) => text(StatusCode::BAD_REQUEST, &e.to_string()),
    }
}

/// The instances named, all if none is.
fn chosen<'a>(host: &'a Host, names: &'a [String]) -> impl Iterator<Item = &'a Arc<Member>> {
    host.members.iter().filter(move |member| {
        let worker = member.worker();
        names.is_empty()
            || names
                .iter()
                .any(|name| *name == *worker.spec().name.as_str())
    })
}

fn text(status: StatusCode, body: &str) -> Reply {
    let mut reply = Response::new(AnswerBody::new(body.to_owned(), CutShort::Never));
    *reply.status_mut() = status;
    reply
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
