//! Weights and quotas of teams.
//!
//! Load pattern: one team sends most of the requests. Its weight bounds its
//! share of contended slots (see `fair`), its quota bounds its requests in
//! flight even where no other team needs the slots. A team at its quota waits
//! in its own queue and blocks no other team.
//!
//! The quota of a row holds for all entry instances together. The load balancer
//! spreads callers evenly over them, so each uses an even share; a shared
//! counter would make every dispatch wait for the others.

use std::collections::BTreeMap;

use crate::model::{Row, RowKey, WorkspaceName};

/// Weight of a team without a row.
const DEFAULT_TEAM_WEIGHT: u32 = 10;

/// Rows of the teams, and their requests in flight.
#[derive(Debug, Default)]
pub(super) struct Teams {
    rows: BTreeMap<WorkspaceName, Row>,
    in_flight: BTreeMap<WorkspaceName, u32>,
    peers: u32,
}

impl Teams {
    pub(super) fn set_rows(&mut self, rows: &BTreeMap<RowKey, Row>) {
        self.rows = rows
            .iter()
            .filter_map(|(key, row)| match key {
                RowKey::Team { team } => Some((team.clone(), *row)),
                RowKey::Service { .. } => None,
            })
            .collect();
    }

    /// Sets the number of other entry instances that are heard from.
    pub(super) fn set_peers(&mut self, peers: usize) {
        self.peers = u32::try_from(peers).unwrap_or(u32::MAX);
    }

    pub(super) fn weight(&self, team: &WorkspaceName) -> u32 {
        self.rows
            .get(team)
            .map_or(DEFAULT_TEAM_WEIGHT, |r| r.weight)
    }

    pub(super) fn queue_ms(&self, team: &WorkspaceName) -> Option<u64> {
        self.rows.get(team).map(|r| r.queue_ms)
    }

    pub(super) fn is_closed(&self, team: &WorkspaceName) -> bool {
        self.rows
            .get(team)
            .is_some_and(|r| r.weight == 0 || r.limit_in_flight == 0)
    }

    pub(super) fn has_quota(&self, team: &WorkspaceName) -> bool {
        self.rows.contains_key(team)
    }

    /// Returns whether the team may have one more request in flight.
    pub(super) fn may_run(&self, team: &WorkspaceName) -> bool {
        let Some(row) = self.rows.get(team) else {
            return true;
        };
        let part = (row.limit_in_flight / (self.peers + 1)).max(1);
        !self.is_closed(team) && self.in_flight(team) < part
    }

    pub(super) fn in_flight(&self, team: &WorkspaceName) -> u32 {
        self.in_flight.get(team).copied().unwrap_or(0)
    }

    pub(super) fn started(&mut self, team: &WorkspaceName) {
        *self.in_flight.entry(team.clone()).or_default() += 1;
    }

    pub(super) fn ended(&mut self, team: &WorkspaceName) {
        let Some(n) = self.in_flight.get_mut(team) else {
            return;
        };
        *n = n.saturating_sub(1);
        if *n == 0 {
            self.in_flight.remove(team);
        }
    }
}
