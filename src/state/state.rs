use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::maintenance::Fleet;
use crate::model::{RowKey, VersionedRow};

use super::{Change, Command, Reply, RowChange};

/// Everything the entry instances agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    rows: BTreeMap<RowKey, VersionedRow>,
    fleet: Fleet,
}

impl State {
    /// Applies one command.
    pub fn apply(&mut self, command: &Command) -> Reply {
        match &command.change {
            Change::PutRows {
                change,
                operator,
                rows,
            } => {
                for RowChange { key, row, .. } in rows {
                    let version = self.rows.get(key).map_or(0, |r| r.version) + 1;
                    match row {
                        Some(row) => {
                            let row = VersionedRow {
                                row: *row,
                                version,
                                change: change.clone(),
                                operator: operator.clone(),
                                at_unix_ms: command.at_unix_ms,
                            };
                            self.rows.insert(key.clone(), row);
                        }
                        None => {
                            self.rows.remove(key);
                        }
                    }
                }
                Reply::Accepted
            }
            Change::Fleet { command: fleet, .. } => {
                match self.fleet.apply(command.at_unix_ms, fleet) {
                    Ok(()) => Reply::Accepted,
                    Err(refusal) => Reply::Fleet(refusal),
                }
            }
        }
    }

    /// Rows in force.
    pub fn rows(&self) -> &BTreeMap<RowKey, VersionedRow> {
        &self.rows
    }

    /// Pools, instances and waves.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }
}
