use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::model::{ChangeId, Row, RowKey, VersionedRow};

use super::RowChange;

/// Changes kept of each row, for `explain`.
pub const ROW_TRAIL: usize = 16;

/// Removed rows whose version is remembered. Teams come and go with each round;
/// without a bound the table would fill up with them.
pub const REMOVED_KEPT: usize = 1_000;

/// Rows of weights and limits with what remains of removed ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Rows {
    live: BTreeMap<RowKey, VersionedRow>,
    /// Version of each removed row. Without it a row made again would start at
    /// version 1, and an entry instance that holds the old row would take the
    /// new one for older.
    removed: BTreeMap<RowKey, u64>,
    /// The highest version of a removed row that is remembered no more; a row
    /// that is new to the table starts above it.
    floor: u64,
    trails: BTreeMap<RowKey, VecDeque<RowStep>>,
}

/// One change of a row, for `explain`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowStep {
    /// When, in milliseconds of Unix time as the proposer saw it.
    pub at_unix_ms: u64,
    /// Who changed it.
    pub operator: String,
    /// The change.
    pub change: ChangeId,
    /// The version it led to.
    pub version: u64,
    /// The row before, none if there was none.
    pub before: Option<Row>,
    /// The row after, none if it was removed.
    pub after: Option<Row>,
}

impl Rows {
    /// Rows in force.
    pub fn live(&self) -> &BTreeMap<RowKey, VersionedRow> {
        &self.live
    }

    /// The row's version, also of a removed row; 0 if there never was one.
    pub fn version(&self, key: &RowKey) -> u64 {
        self.live
            .get(key)
            .map(|row| row.version)
            .or_else(|| self.removed.get(key).copied())
            .unwrap_or(0)
    }

    /// The kept changes of a row, oldest first.
    pub fn trail(&self, key: &RowKey) -> impl Iterator<Item = &RowStep> {
        self.trails.get(key).into_iter().flatten()
    }

    /// Puts a checked change in force. A row that stays the same keeps its
    /// version, so that a whole sheet sent back touches only what differs.
    pub fn put(&mut self, wanted: &RowChange, change: &ChangeId, operator: &str, at_unix_ms: u64) {
        let key = &wanted.key;
        let before = self.live.get(key).map(|row| row.row);
        if before == wanted.row {
            return;
        }
        let version = self.version(key).max(self.floor) + 1;
        match wanted.row {
            Some(row) => {
                self.removed.remove(key);
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
                self.removed.insert(key.clone(), version);
            }
        }
        let trail = self.trails.entry(key.clone()).or_default();
        if trail.len() == ROW_TRAIL {
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
        self.forget();
    }

    /// Forgets the removed rows of the lowest versions over [`REMOVED_KEPT`].
    fn forget(&mut self) {
        if self.removed.len() <= REMOVED_KEPT {
            return;
        }
        let lowest = self.removed.iter().min_by_key(|(_, version)| **version);
        if let Some((key, version)) = lowest.map(|(key, version)| (key.clone(), *version)) {
            self.floor = self.floor.max(version);
            self.removed.remove(&key);
            self.trails.remove(&key);
        }
    }
}
