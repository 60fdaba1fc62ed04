use serde::{Deserialize, Serialize};

use crate::model::{Class, ServiceName, TeamName};

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
    /// Its id.
    pub id: RequestId,
    /// What is asked for.
    pub service: ServiceName,
    /// How long it may wait.
    pub class: Class,
    /// Whose quota it counts against.
    pub team: TeamName,
    /// Who sent it, within the team; fairness inside the team.
    pub caller: String,
    /// Whether it may run twice. One that may not is never tried again once
    /// bytes of it may have reached an upstream.
    pub idempotent: bool,
    /// When its answer is useless, on the same clock as `now_ms`.
    pub deadline_ms: u64,
}
