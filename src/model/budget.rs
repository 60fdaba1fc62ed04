use serde::{Deserialize, Serialize};

/// The number of instances of a pool that must stay available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Smallest number of instances that serve at any time.
    pub min_available: u32,
    /// Largest failure domain whose loss must still leave `min_available`
    /// instances.
    pub survive: FailureDomain,
}

/// A failure domain whose loss a budget allows for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum FailureDomain {
    /// No loss: no instances beyond `min_available` are kept.
    #[display("none")]
    None,
    /// The loss of any one instance.
    #[display("instance")]
    Instance,
    /// The loss of the worst rack.
    #[display("rack")]
    Rack,
}
