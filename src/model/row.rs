use serde::{Deserialize, Serialize};

use super::{ChangeId, ServiceName, WorkspaceName, ZoneName};

/// Identifies a row of the table of weights and limits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RowKey {
    /// Weight and limits of a service in an availability zone.
    Service {
        /// The service.
        service: ServiceName,
        /// The availability zone.
        zone: ZoneName,
    },
    /// Share and quota of a team.
    Team {
        /// The team.
        team: WorkspaceName,
    },
}

/// One row of weights and limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Relative share, 0 to 100: for a service, the share of its load that the
    /// zone takes; for a team, its share of contended capacity.
    pub weight: u32,
    /// Largest number of requests in flight, of the service in the zone or of the
    /// team.
    pub limit_in_flight: u32,
    /// Longest wait in a queue, in milliseconds.
    pub queue_ms: u64,
}

/// A row with its version and the change that set it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// The row.
    pub row: Row,
    /// Counts changes of this row, from 1.
    pub version: u64,
    /// The id of the change that set it.
    pub change: ChangeId,
    /// The operator who changed it.
    pub operator: String,
    /// Time of the change on the proposer's clock, in milliseconds of Unix time.
    pub at_unix_ms: u64,
}
