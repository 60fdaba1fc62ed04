use serde::{Deserialize, Serialize};

/// Numbers the attempts at one piece of work; only the present number counts.
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
    /// The fence of the attempt after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
