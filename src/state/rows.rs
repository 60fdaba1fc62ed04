use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::model::{ChangeId, Row, RowKey, VersionedRow};

use super::RowChange;

/// Largest number of changes kept of each row, for the `explain` command.
pub const MAX_ROW_TRAIL_STEPS: usize = 16;

/// Largest number of removed rows whose version is kept. Teams are added and
/// removed with each round of work; without a bound their removed rows would
/// accumulate.
pub const MAX_REMOVED_ROWS: usize = 1_000;

/// Rows of weights and limits, and the versions of removed rows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Rows {
    live: BTreeMap<RowKey, VersionedRow>,
    /// Version of each removed row. Without it a row that is added again would
    /// start at version 1, and an entry instance that holds the old row would
    /// take the new one for older.
    removed_versions: BTreeMap<RowKey, u64>,
    /// Highest version among the removed rows that were evicted; a row that is
    /// new to the table starts above it.
    max_evicted_version: u64,
    trails: BTreeMap<RowKey, VecDeque<RowStep>>,
}

/// One change of a row, for the `explain` command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowStep {
    /// Time of the change on the proposer's clock, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// The operator who changed it.
    pub operator: String,
    /// The operator's id for the change.
    pub change: ChangeId,
    /// The row's version after the change.
    pub version: u64,
    /// The row before; none if it did not exist.
    pub before: Option<Row>,
    /// The row after; none if it was removed.
    pub after: Option<Row>,
}

impl Rows {
    /// The rows in force.
    pub fn live(&self) -> &BTreeMap<RowKey, VersionedRow> {
        &self.live
    }

    /// Returns the version of a row, also of a removed one; 0 if the row is
    /// unknown.
    pub fn version(&self, key: &RowKey) -> u64 {
        self.live
            .get(key)
            .map(|row| row.version)
            .or_else(|| self.removed_versions.get(key).copied())
            .unwrap_or(0)
    }

    /// The changes kept of a row, oldest first.
    pub fn trail(&self, key: &RowKey) -> impl Iterator<Item = &RowStep> {
        self.trails.get(key).into_iter().flatten()
    }

    /// Puts a checked change in force. An unchanged row keeps its version, so
    /// that an operator can send the whole table back with one row edited.
    pub fn put(&mut self, wanted: &RowChange, change: &ChangeId, operator: &str, at_unix_ms: u64) {
        let key = &wanted.key;
        let before = self.live.get(key).map(|row| row.row);
        if before == wanted.row {
            return;
        }
        let version = self.version(key).max(self.max_evicted_version) + 1;
        match wanted.row {
            Some(row) => {
                self.removed_versions.remove(key);
                let row = VersionedRow {
                    row,
                    version,
                    change: change.clone(),
                    operator: operator.to_owned(),
                    at_unix_ms,
                };
                self.live.insert(key.clone(), row);
            }
            None => {
                self.live.remove(key);
                self.removed_versions.insert(key.clone(), version);
            }
        }
        let trail = self.trails.entry(key.clone()).or_default();
        if trail.len() == MAX_ROW_TRAIL_STEPS {
            trail.pop_front();
        }
        trail.push_back(RowStep {
            at_unix_ms,
            operator: operator.to_owned(),
            change: change.clone(),
            version,
            before,
            after: wanted.row,
        });
        self.evict_removed();
    }

    /// Evicts the removed row of the lowest version over [`MAX_REMOVED_ROWS`].
    fn evict_removed(&mut self) {
        if self.removed_versions.len() <= MAX_REMOVED_ROWS {
            return;
        }
        let lowest = self
            .removed_versions
            .iter()
            .min_by_key(|(_, version)| **version);
        if let Some((key, version)) = lowest.map(|(key, version)| (key.clone(), *version)) {
            self.max_evicted_version = self.max_evicted_version.max(version);
            self.removed_versions.remove(&key);
            self.trails.remove(&key);
        }
    }
}
