use serde::{Deserialize, Serialize};

/// What is wrong with a link; the default is nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkFaults {
    /// What happens to new connections.
    pub accept: Accept,
    /// Bytes towards the target.
    pub forward: Flow,
    /// Bytes back from the target.
    pub backward: Flow,
    /// Delay of all bytes each way, in milliseconds.
    pub delay_ms: u64,
    /// Reset a connection after this many bytes towards the target.
    pub reset_after_forward_bytes: Option<u64>,
    /// Reset a connection after this many bytes back from the target.
    pub reset_after_backward_bytes: Option<u64>,
}

/// What happens to new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Accept {
    /// Passed on.
    #[default]
    Pass,
    /// The port is closed.
    Refuse,
    /// Accepted and reset.
    Reset,
}

/// What happens to bytes in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flow {
    /// Passed on.
    #[default]
    Pass,
    /// Kept back until they pass again, as by a cut that TCP outlasts.
    Hold,
}

impl LinkFaults {
    /// Nothing gets through either way; it heals by going back to the default.
    pub fn cut() -> Self {
        Self {
            forward: Flow::Hold,
            backward: Flow::Hold,
            ..Self::default()
        }
    }

    /// The port is closed.
    pub fn refuse() -> Self {
        Self {
            accept: Accept::Refuse,
            ..Self::default()
        }
    }
}
