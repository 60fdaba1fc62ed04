use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{Absence, InstanceName, PoolName};

use super::{Trail, WaveKind, WaveSpec};

/// A maintenance wave and how far it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// What it does to which instances.
    pub spec: WaveSpec,
    /// Whether it goes on.
    pub state: WaveState,
    /// When it started, in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// When it ended, in milliseconds of Unix time.
    pub ended_unix_ms: Option<u64>,
    /// Instances whose turn is still to come, by pool.
    pub pending: BTreeMap<PoolName, BTreeSet<InstanceName>>,
    /// Instances it has out of service, and since when in Unix milliseconds.
    pub out: BTreeMap<InstanceName, u64>,
    /// Instances that came back.
    pub done: u32,
    /// Instances it gave up on, and why.
    pub left_out: BTreeMap<InstanceName, String>,
    /// How often the turn of an instance was put off.
    pub put_off: BTreeMap<InstanceName, u32>,
    /// Time out of service of those that came back, in milliseconds.
    pub seen_ms: u64,
    /// What was decided.
    pub trail: Trail,
}

/// Whether a wave goes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum WaveState {
    /// It goes on.
    #[display("running")]
    Running,
    /// A failure broke the budget of a pool that it still has to visit.
    #[display("paused: {why}")]
    Paused {
        /// The arithmetic.
        why: String,
    },
    /// All instances were visited or left out.
    #[display("done")]
    Done,
    /// An operator ended it.
    #[display("stopped")]
    Stopped,
}

impl Wave {
    /// Whether it may still take instances out.
    pub fn is_active(&self) -> bool {
        matches!(self.state, WaveState::Running | WaveState::Paused { .. })
    }

    /// Instances whose turn is still to come.
    pub fn pending_len(&self) -> usize {
        self.pending.values().map(BTreeSet::len).sum()
    }

    /// Expected time out of service of one instance, in milliseconds: the
    /// declared one until three came back, then what was seen. Declared times
    /// are often off by four; three visits are enough to tell that apart from
    /// the spread.
    pub fn visit_ms(&self) -> u64 {
        if self.done < 3 {
            self.spec.visit_ms()
        } else {
            (self.seen_ms / u64::from(self.done)).max(1)
        }
    }

    /// The absence its instances are under.
    pub fn absence(&self) -> Absence {
        let wave = self.spec.name.clone();
        match self.spec.kind {
            WaveKind::Reboot => Absence::Reboot { wave },
            WaveKind::Replace => Absence::Replace { wave },
        }
    }

    pub(super) fn put(&mut self, pool: &PoolName, instance: &InstanceName) {
        let set = self.pending.entry(pool.clone()).or_default();
        set.insert(instance.clone());
    }

    /// Takes an instance from those still to come.
    pub(super) fn take(&mut self, pool: &PoolName, instance: &InstanceName) -> bool {
        let Some(set) = self.pending.get_mut(pool) else {
            return false;
        };
        let had = set.remove(instance);
        if set.is_empty() {
            self.pending.remove(pool);
        }
        had
    }

    pub(super) fn came_back(&mut self, instance: &InstanceName, at_unix_ms: u64) {
        if let Some(since) = self.out.remove(instance) {
            self.done += 1;
            self.seen_ms += at_unix_ms.saturating_sub(since);
        }
    }
}
