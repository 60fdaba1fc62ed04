use serde::{Deserialize, Serialize};

/// A fencing token: the number of an attempt at a request or job. Reports under
/// any other number than the current one are rejected.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(transparent)]
pub struct Fence(pub u64);

impl Fence {
    /// Returns the fence of the next attempt.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
