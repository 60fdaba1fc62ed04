use crate::maintenance::{FleetCommand, WaveSpec};
use crate::model::ChangeId;

/// Identifies a request of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct OperatorId(pub u64);

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Get the status of the system.
    Status,
    /// Get the status for metrics.
    Metrics,
    /// Get the configuration rows in force, as a CSV table.
    Table,
    /// Check a CSV table without changing anything.
    CheckTable {
        /// The CSV table.
        sheet: Vec<u8>,
    },
    /// Put the rows of a CSV table in force, all or none.
    PutTable {
        /// The change's id.
        change: ChangeId,
        /// The operator's name.
        operator: String,
        /// The CSV table.
        sheet: Vec<u8>,
        /// Whether the operator confirms unusually large changes of values.
        confirm_jump: bool,
    },
    /// List the pools with their budgets.
    Pools,
    /// List the waves with their progress.
    Waves,
    /// Plan a wave without changing anything.
    PlanWave {
        /// The wave to plan.
        spec: WaveSpec,
    },
    /// Change pools, instances or waves.
    Fleet {
        /// The change's id.
        change: ChangeId,
        /// The operator's name.
        operator: String,
        /// The change.
        command: FleetCommand,
    },
    /// Explain the decisions about a subject.
    Explain(Subject),
}

/// The subject of an explanation.
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

/// The answer to an operator.
#[derive(Clone, Debug)]
pub enum OperatorAnswer {
    /// Success, with the result as JSON.
    Ok(serde_json::Value),
    /// Success, with a CSV table.
    Sheet(Vec<u8>),
    /// Success, with the status for metrics.
    Metrics(Box<super::EntryStatus>),
    /// Refused, with the reason and the remedy.
    Refused(serde_json::Value),
    /// The replicated log did not confirm the change in time; the change may or may not
    /// be accepted. Sent again under the same change id, it takes effect once.
    Unknown(String),
}
