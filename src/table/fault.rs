use serde::{Deserialize, Serialize};

use crate::model::{Row, VersionedRow};

/// What is wrong with a cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// The sheet is over the limit of bytes or rows.
    #[display("the sheet is larger than {limit} {unit}")]
    TooLarge {
        /// The limit.
        limit: u64,
        /// Of what.
        unit: String,
    },
    /// Not UTF-8 text.
    #[display("the row is not UTF-8 text")]
    NotUtf8,
    /// Quotes do not match.
    #[display("the row cannot be read as CSV")]
    Malformed,
    /// A row without any cell.
    #[display("the row is empty")]
    EmptyRow,
    /// The header lacks a column.
    #[display("the header has no such column")]
    MissingColumn,
    /// The header has a column that the table does not know, or has it twice.
    #[display("the header has a column that does not belong there")]
    ExtraColumn,
    /// The row has more or fewer cells than the header.
    #[display("the row has {cells} cells where the header has {columns}")]
    CellCount {
        /// Cells in the row.
        cells: u32,
        /// Cells in the header.
        columns: u32,
    },
    /// Neither `service` nor `team`.
    #[display("this kind does not exist")]
    UnknownKind,
    /// No name.
    #[display("the name is empty")]
    EmptyName,
    /// A name with spaces, control characters, or too long.
    #[display("this is not a name")]
    BadName,
    /// A service row without an availability zone.
    #[display("a service row needs an availability zone")]
    EmptyZone,
    /// A team row with an availability zone.
    #[display("a team has no availability zone")]
    ZoneForTeam,
    /// Not a whole number, or beyond any sense.
    #[display("this is not a whole number from 0 to {max}")]
    NotANumber {
        /// The largest number that the column takes.
        max: u64,
    },
    /// No pool carries the service.
    #[display("no pool carries this service")]
    UnknownService,
    /// Nothing is in the availability zone.
    #[display("no entry instance or upstream is in this availability zone")]
    UnknownZone,
    /// Over 100.
    #[display("a weight is at most {max}")]
    WeightTooLarge {
        /// The largest weight.
        max: u32,
    },
    /// A limit of 0 would refuse every request.
    #[display("a limit of 0 refuses every request")]
    ZeroLimit,
    /// More than the instances could carry at once.
    #[display("the {instances} instances there can carry at most {capacity} at once")]
    LimitAboveCapacity {
        /// What they can carry.
        capacity: u64,
        /// How many instances there are.
        instances: u32,
    },
    /// Less than the pool's budget keeps instances for.
    #[display(
        "the limits of the pool come to {total}, fewer than the {min_available} instances that its budget keeps available"
    )]
    LimitBelowBudget {
        /// The sum over the pool's services and availability zones.
        total: u64,
        /// The budget's demand.
        min_available: u32,
    },
    /// Longer than anyone waits.
    #[display("a wait here is at most {max_ms} ms")]
    QueueTooLong {
        /// The longest wait.
        max_ms: u64,
    },
    /// The same row twice in one change.
    #[display("row {first} of the sheet sets the same row")]
    Duplicate {
        /// The first of the two.
        first: u32,
    },
    /// The row is at another version: somebody else changed it.
    #[display("{}", standing(*version, row.as_deref()))]
    Version {
        /// The present version.
        version: u64,
        /// The row that is in force, none if there is none.
        row: Option<Box<VersionedRow>>,
    },
    /// Changed by 5 times or more, or to 0, without confirmation.
    #[display("{from} becomes {to}")]
    Jump {
        /// The value in force.
        from: u64,
        /// The value wanted.
        to: u64,
    },
    /// Removes a row without confirmation.
    #[display("weight, limit and queue are empty, which removes the row")]
    Removal,
    /// Removes a row that does not exist.
    #[display("weight, limit and queue are empty, but there is no such row to remove")]
    NothingToRemove,
    /// Weight 0 in every availability zone where the service could run.
    #[display("this closes the last availability zone that takes the service")]
    LastOpenZone,
}

impl Fault {
    /// What the operator should do about it.
    pub fn remedy(&self) -> String {
        match self {
            Self::TooLarge { .. } => "Send it in several sheets.".into(),
            Self::NotUtf8 => "Save the sheet as CSV in UTF-8.".into(),
            Self::Malformed => "Remove the quotes from the row.".into(),
            Self::EmptyRow => "Delete the row.".into(),
            Self::MissingColumn => format!("The header is {HEADER}, separated by commas."),
            Self::ExtraColumn => format!("Remove it; the header is {HEADER}."),
            Self::CellCount { columns, .. } => {
                format!("Give the row {columns} cells, leaving unused ones empty.")
            }
            Self::UnknownKind => "Write service or team.".into(),
            Self::EmptyName => "Write the name of the service or team.".into(),
            Self::BadName => {
                "Use up to 64 letters, digits, dots, dashes and underscores.".into()
            }
            Self::EmptyZone => "Write the availability zone.".into(),
            Self::ZoneForTeam => "Leave the cell empty.".into(),
            Self::NotANumber { max } => {
                format!("Write digits only, from 0 to {max}.")
            }
            Self::UnknownService => {
                "Check the spelling, or create the pool that carries it first.".into()
            }
            Self::UnknownZone => "Check the spelling.".into(),
            Self::WeightTooLarge { max } => format!("Write a weight from 0 to {max}."),
            Self::ZeroLimit => {
                "Write at least 1; to send no load to the zone set its weight to 0.".into()
            }
            Self::LimitAboveCapacity { capacity, .. } => {
                format!("Write at most {capacity}, or add instances first.")
            }
            Self::LimitBelowBudget { min_available, .. } => format!(
                "Raise the limits to {min_available} in all, or lower the pool's budget first."
            ),
            Self::QueueTooLong { max_ms } => format!("Write at most {max_ms}."),
            Self::Duplicate { .. } => "Keep one of the two.".into(),
            Self::Version { version: 0, .. } => "Write 0 or leave the cell empty.".into(),
            Self::Version { version, .. } => format!(
                "Get the table again, look at what changed, and write version {version} if your row still holds."
            ),
            Self::Jump { from, .. } => format!(
                "If it is a slip, write a value near {from}; if it is meant, send the change with --confirm-jump."
            ),
            Self::Removal => {
                "If it is a slip, fill the cells; if it is meant, send the change with --confirm-jump.".into()
            }
            Self::NothingToRemove => "Fill the cells or delete the row of the sheet.".into(),
            Self::LastOpenZone => {
                "Leave one availability zone of the service with a weight above 0.".into()
            }
        }
    }
}

const HEADER: &str = "kind,name,zone,weight,limit_in_flight,queue_ms,version";

/// Says where a row stands.
fn standing(version: u64, row: Option<&VersionedRow>) -> String {
    match row {
        None if version == 0 => "there is no such row yet".into(),
        None => format!("the row was removed at version {version}"),
        Some(versioned) => {
            let Row {
                weight,
                limit_in_flight,
                queue_ms,
            } = versioned.row;
            let operator = &versioned.operator;
            format!(
                "the row is at version {version}, set by {operator}: \
                 weight {weight}, limit {limit_in_flight}, queue {queue_ms} ms"
            )
        }
    }
}
