//! What the tests read off the world.

use rosemarygauge::control::State;
use rosemarygauge::model::EntryName;

use super::{Flying, World, name};

impl World {
    /// The instances that do not lead, by their places.
    pub fn followers(&self) -> Vec<usize> {
        let leader = self.leader();
        (1..=3).filter(|p| Some(name(*p)) != leader).collect()
    }

    /// The leaders that an entry instance was told of.
    pub fn welcomes(&self, client: &EntryName) -> Vec<EntryName> {
        self.welcomed.get(client).cloned().unwrap_or_default()
    }

    /// How often something was counted.
    pub fn counted(&self, decision: &str) -> u64 {
        self.decisions.get(decision).copied().unwrap_or(0)
    }

    /// How many orders to workers an instance sent.
    pub fn ordered_by(&self, at: &EntryName) -> u64 {
        self.ordered.get(at).copied().unwrap_or(0)
    }

    /// How often an instance aborted its open orders.
    pub fn aborted_by(&self, at: &EntryName) -> u64 {
        self.aborted.get(at).copied().unwrap_or(0)
    }

    /// Orders on their way to the keeper of machines.
    pub fn machine_orders(&self) -> usize {
        let flying = self.flying.values();
        flying
            .filter(|f| matches!(f, Flying::Machine { .. }))
            .count()
    }

    pub fn leader(&self) -> Option<EntryName> {
        let mut leaders = self.controls.iter().filter(|(_, c)| {
            let node = c.node.as_ref().filter(|_| !c.frozen);
            node.is_some_and(|node| node.leads(self.now_ms))
        });
        leaders.next().map(|(name, _)| name.clone())
    }

    pub fn state(&self, at: &EntryName) -> &State {
        self.controls[at].node.as_ref().unwrap().state()
    }

    /// The voters as the instance's disk knows them.
    pub fn voters(&self, at: &EntryName) -> Vec<EntryName> {
        let disk = &self.controls[at].disk;
        let entries = disk.entries.iter().rev();
        let latest = entries.filter_map(|e| e.membership.as_ref()).next();
        let snapshot = || disk.snapshot.as_ref().map(|s| &s.membership);
        let voters = latest.or_else(snapshot).unwrap().iter();
        voters.map(|(name, _)| name.clone()).collect()
    }

    /// Whether a write of the instance is on its way to the disk.
    pub fn writes(&self, at: &EntryName) -> bool {
        let mut flying = self.flying.values();
        flying.any(|f| matches!(f, Flying::Persisted { at: by, .. } if by == at))
    }
}
