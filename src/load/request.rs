use serde::{Deserialize, Serialize};

use crate::model::{Class, ServiceName, WorkspaceName};

/// One request inside one entry instance, from its arrival to its answer.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
pub struct RequestId(pub u64);

/// One try of a request on one instance, counted from 1.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
pub struct AttemptId(pub u32);

/// A request as the decisions see it; its body stays with the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Requested service.
    pub service: ServiceName,
    /// Class, which tells how long it may wait.
    pub class: Class,
    /// Team whose quota it counts against.
    pub team: WorkspaceName,
    /// Caller within the team; callers of a team share its slots evenly.
    pub caller: String,
    /// Whether it may run twice. One that may not is never retried once bytes of it may
    /// have reached an upstream.
    pub idempotent: bool,
    /// Time after which its answer is useless, on the clock of `now_ms`.
    pub deadline_ms: u64,
}
