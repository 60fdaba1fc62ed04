use serde::{Deserialize, Serialize};

use super::{ChangeId, ServiceName, TeamName, ZoneName};

/// Which row of the table.
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
        team: TeamName,
    },
}

/// One row of weights and limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Relative share, 0 to 100. For a service: of its load that this zone
    /// takes. For a team: of contended capacity.
    pub weight: u32,
    /// Requests in flight at once: of the service in the zone, or of the team.
    pub limit_in_flight: u32,
    /// Longest wait in a queue, in milliseconds.
    pub queue_ms: u64,
}

/// A row with its version and where it came from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// The row.
    pub row: Row,
    /// Counts changes of this row, from 1.
    pub version: u64,
    /// The change that set it.
    pub change: ChangeId,
    /// Who changed it.
    pub operator: String,
    /// When, in milliseconds of Unix time as the leader saw it.
    pub at_unix_ms: u64,
}
