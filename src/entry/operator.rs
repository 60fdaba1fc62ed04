use crate::maintenance::{FleetCommand, WaveSpec};
use crate::model::ChangeId;

/// One request at the operators' edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct OperatorId(pub u64);

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// How the system is.
    Status,
    /// The same, for metrics.
    Metrics,
    /// The rows in force, as a sheet.
    Table,
    /// What is wrong with a sheet; nothing is changed.
    CheckTable {
        /// The sheet.
        sheet: Vec<u8>,
    },
    /// Put the rows of a sheet in force, all or none.
    PutTable {
        /// The change's id.
        change: ChangeId,
        /// Who.
        operator: String,
        /// The sheet.
        sheet: Vec<u8>,
        /// Whether jumps are meant.
        confirm_jump: bool,
    },
    /// Pools with their budgets.
    Pools,
    /// Waves and how far they are.
    Waves,
    /// The plan of a wave; nothing is changed.
    PlanWave {
        /// The wave.
        spec: WaveSpec,
    },
    /// Change pools, instances or waves.
    Fleet {
        /// The change's id.
        change: ChangeId,
        /// Who.
        operator: String,
        /// The change.
        command: FleetCommand,
    },
    /// What was decided about something.
    Explain(Subject),
}

/// What can be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A request as `team/caller/key`, or a job by its id.
    Request(String),
    /// An instance.
    Instance(String),
    /// A pool.
    Pool(String),
    /// A wave.
    Wave(String),
    /// A row: `service/zone`, or a team.
    Row(String),
}

/// What an operator gets.
#[derive(Clone, Debug)]
pub enum OperatorAnswer {
    /// As asked.
    Ok(serde_json::Value),
    /// As asked, as a sheet.
    Sheet(Vec<u8>),
    /// As asked, for metrics.
    Metrics(Box<super::EntryStatus>),
    /// Refused, with the reason and the remedy.
    Refused(serde_json::Value),
    /// The replicated log could not be reached in time; the change may or may
    /// not be accepted. Sent again under the same change id it is done once.
    Unknown(String),
}
