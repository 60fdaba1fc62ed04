use serde::{Deserialize, Serialize};

/// One request that a stand-in started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Unique within the stand-in process.
    pub run: u64,
    /// The instance that ran it.
    pub instance: String,
    /// The instance's incarnation.
    pub incarnation: u64,
    /// The entry instance's id of the request.
    pub request: String,
    /// The attempt.
    pub attempt: u64,
    /// The service.
    pub service: String,
    /// The pool under which it was dispatched.
    pub pool: String,
    /// The pool epoch under which it was dispatched.
    pub pool_epoch: u64,
    /// The request key, if it had one.
    pub key: Option<String>,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// The fencing number of a patient job's attempt.
    pub fence: Option<u64>,
    /// SHA-256 of the body, in hexadecimal.
    pub body_sha256: String,
    /// When it started, in milliseconds of Unix time.
    pub started_ms: u64,
    /// When it ended, in milliseconds of Unix time; none while it runs.
    pub ended_ms: Option<u64>,
    /// How it ended.
    pub end: RunEnd,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// Not yet.
    Running,
    /// Ran to its end.
    Finished,
    /// Failed by the fault `fail_everything`.
    Failed,
    /// Stopped with a checkpoint.
    Checkpointed,
    /// Its connection went away, or the instance died.
    Abandoned,
}
