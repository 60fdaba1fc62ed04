use serde::{Deserialize, Serialize};

use super::{DesiredState, InstanceName, PoolName, RackName, ZoneName};

/// A worker machine as the replicated state knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: RackName,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// Counts its returns to service, in this or another pool; a dispatch under an
    /// older epoch is rejected.
    pub epoch: u64,
    /// Its desired state.
    pub duty: DesiredState,
}
