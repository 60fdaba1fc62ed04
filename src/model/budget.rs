use serde::{Deserialize, Serialize};

/// How many instances of a pool must stay available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Instances that must be serving at any moment.
    pub min_available: u32,
    /// Largest failure domain whose loss must still leave `min_available`.
    pub survive: Survive,
}

/// A failure domain a budget has to survive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Survive {
    /// No further loss is planned for.
    #[display("none")]
    None,
    /// The loss of any one instance.
    #[display("instance")]
    Instance,
    /// The loss of the worst rack.
    #[display("rack")]
    Rack,
}
