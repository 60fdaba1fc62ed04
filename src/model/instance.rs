use serde::{Deserialize, Serialize};

use super::{Duty, InstanceName, PoolName, RackName, ZoneName};

/// A worker machine as the replicated state knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// The one pool it belongs to.
    pub pool: PoolName,
    /// Counts its returns to service, in this or another pool; a dispatch under an
    /// older epoch is void.
    pub epoch: u64,
    /// What it is meant to be doing.
    pub duty: Duty,
}
