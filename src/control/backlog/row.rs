use std::collections::BTreeMap;

use super::super::ranking::Class;
use super::{Entry, Waits};

/// What waits in one pool.
#[derive(Debug, Default)]
pub(in super::super) struct Row {
    /// The steps of small jobs and of large ones.
    groups: [BTreeMap<Entry, Waits>; 2],
    /// What the steps of each class ask for, small and large, in thousandths of a core.
    asks: BTreeMap<Class, [u64; 2]>,
    /// Behind which entries of each group the next look at the rest begins.
    pub(super) resume: [Option<Entry>; 2],
}

impl Row {
    /// Whether nothing waits.
    pub(in super::super) fn is_empty(&self) -> bool {
        self.groups.iter().all(BTreeMap::is_empty)
    }

    /// The steps of one group.
    pub(super) fn group(&self, large: bool) -> &BTreeMap<Entry, Waits> {
        &self.groups[usize::from(large)]
    }

    /// What the steps of a class ask for, small and large, in cores.
    pub(super) fn asks(&self, class: Class) -> [f64; 2] {
        let milli = self.asks.get(&class).copied().unwrap_or_default();
        milli.map(|milli| milli as f64 / 1_000.0)
    }

    pub(super) fn insert(&mut self, large: bool, entry: Entry, waits: Waits) {
        self.asks.entry(entry.rank.class()).or_default()[usize::from(large)] += waits.cpu_milli;
        self.groups[usize::from(large)].insert(entry, waits);
    }

    pub(super) fn remove(&mut self, large: bool, entry: &Entry, waits: &Waits) {
        self.groups[usize::from(large)].remove(entry);
        let class = entry.rank.class();
        if let Some(asks) = self.asks.get_mut(&class) {
            asks[usize::from(large)] -= waits.cpu_milli;
            if *asks == [0, 0] {
                self.asks.remove(&class);
            }
        }
    }
}
