use serde::{Deserialize, Serialize};

/// A column of the sheet.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "snake_case")]
pub enum Column {
    /// The whole row or sheet.
    #[display("(row)")]
    Whole,
    /// `service` or `team`.
    #[display("kind")]
    Kind,
    /// The service or team.
    #[display("name")]
    Name,
    /// The availability zone.
    #[display("zone")]
    Zone,
    /// Relative share.
    #[display("weight")]
    Weight,
    /// Requests in flight at once.
    #[display("limit_in_flight")]
    Limit,
    /// Longest wait in a queue.
    #[display("queue_ms")]
    Queue,
    /// The version the operator saw.
    #[display("version")]
    Version,
}

impl Column {
    /// The sheet's columns, in its order.
    pub const SHEET: [Self; 7] = [
        Self::Kind,
        Self::Name,
        Self::Zone,
        Self::Weight,
        Self::Limit,
        Self::Queue,
        Self::Version,
    ];
}
