//! The protocol between entry instances and upstreams, as both sides read it.
//!
//! An upstream announces itself by `POST /announce` with a
//! [`UpstreamReport`](crate::model::UpstreamReport) in JSON and is answered with
//! an [`AnnounceReply`]. Requests reach it by `POST /run` with the headers named
//! here.

use serde::{Deserialize, Serialize};

use crate::model::PoolName;

/// Request id, unique in the whole system: `ENTRY-INCARNATION-NUMBER`.
pub const REQUEST: &str = "rg-request";
/// Attempt number of the request.
pub const ATTEMPT: &str = "rg-attempt";
/// Service asked for.
pub const SERVICE: &str = "rg-service";
/// Pool under which the request may run.
pub const POOL: &str = "rg-pool";
/// Pool epoch under which the request may run.
pub const POOL_EPOCH: &str = "rg-pool-epoch";
/// Incarnation of the upstream that was chosen.
pub const INCARNATION: &str = "rg-incarnation";
/// The caller's idempotency key.
pub const KEY: &str = "rg-key";
/// `urgent` or `patient`.
pub const CLASS: &str = "rg-class";
/// `true` or `false`: whether the request may run twice.
pub const IDEMPOTENT: &str = "rg-idempotent";
/// Fencing number of a patient job's attempt.
pub const FENCE: &str = "rg-fence";
/// Where an attempt may go on, as an upstream handed it out.
pub const CHECKPOINT: &str = "rg-checkpoint";
/// Set by an upstream that refuses before starting: `busy`, `leaving` or
/// `stale-epoch`. Only this header says that a request did not start.
pub const REFUSED: &str = "rg-refused";

/// What an upstream is told when it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// How long the report counts, in milliseconds.
    pub lease_ms: u64,
    /// When to report again, in milliseconds.
    pub refresh_ms: u64,
    /// The pool it belongs to, none until it has been admitted to one.
    pub pool: Option<PoolName>,
    /// The pool epoch, 0 until admitted; to be sent back with the next report.
    pub pool_epoch: u64,
    /// What it is asked to do.
    pub order: Order,
}

/// What an upstream is asked to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Take requests.
    #[display("serve")]
    Serve,
    /// Take nothing new, finish what runs.
    #[display("drain")]
    Drain,
    /// Drain, then restart.
    #[display("reboot")]
    Reboot,
    /// Drain, then come back as a new machine.
    #[display("replace")]
    Replace,
    /// Drain, then stop for good.
    #[display("stop")]
    Stop,
}
