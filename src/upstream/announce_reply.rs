use serde::{Deserialize, Serialize};

use crate::model::PoolName;

/// What an entry instance answers to an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// How long the announcement holds, in milliseconds.
    pub lease_ms: u64,
    /// When to announce again, in milliseconds.
    pub refresh_ms: u64,
    /// The pool the instance belongs to.
    pub pool: PoolName,
    /// The pool epoch known to the entry instance.
    pub pool_epoch: u64,
    /// What the instance is to do.
    pub order: Order,
}

/// What an upstream is told to do, in order of strictness.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Take requests.
    #[display("serve")]
    Serve,
    /// Take nothing new, finish what runs.
    #[display("drain")]
    Drain,
    /// Restart once nothing runs.
    #[display("reboot")]
    Reboot,
    /// Be replaced once nothing runs.
    #[display("replace")]
    Replace,
    /// Leave for good.
    #[display("stop")]
    Stop,
}

impl Order {
    /// Whether the instance is to come back with a new incarnation.
    pub fn is_restart(self) -> bool {
        matches!(self, Self::Reboot | Self::Replace)
    }
}
