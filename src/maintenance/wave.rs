use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{Absence, InstanceName, PoolName};

use super::{Trail, WaveKind, WaveSpec};

/// Times its declared time that a visit is learnt from: twice what an instance is
/// given before it is set aside.
const VISIT_TIMES_MAX: u64 = 16;

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
    /// Visits that came back, by pool: what the wave learns from.
    pub seen: BTreeMap<PoolName, SeenVisits>,
    /// What was decided.
    pub trail: Trail,
}

/// Visits of one pool that came back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVisits {
    /// How many.
    pub count: u32,
    /// Their time out of service together, in milliseconds.
    pub total_ms: u64,
}

impl SeenVisits {
    /// Their mean; none until two came back, which is enough to tell a declared
    /// time that is off by four from the spread.
    fn mean_ms(self) -> Option<u64> {
        let mean_ms = self.total_ms.checked_div(u64::from(self.count))?;
        (self.count >= 2).then_some(mean_ms.max(1))
    }
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
        /// The pool.
        pool: PoolName,
        /// The arithmetic at the time.
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

    /// Expected time out of service of one instance, in milliseconds: what was
    /// seen in all pools, or else declared.
    pub fn visit_ms(&self) -> u64 {
        let mut all = SeenVisits::default();
        for seen in self.seen.values() {
            all.count += seen.count;
            all.total_ms += seen.total_ms;
        }
        all.mean_ms().unwrap_or_else(|| self.spec.visit_ms())
    }

    /// The same for one pool, whose services' run times decide how long it
    /// drains: what was seen there, or else declared.
    pub fn pool_visit_ms(&self, pool: &PoolName) -> u64 {
        let seen = self.seen.get(pool).copied().unwrap_or_default();
        seen.mean_ms().unwrap_or_else(|| self.spec.visit_ms())
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

    pub(super) fn came_back(&mut self, pool: &PoolName, instance: &InstanceName, at_unix_ms: u64) {
        if let Some(since) = self.out.remove(instance) {
            self.done += 1;
            let seen = self.seen.entry(pool.clone()).or_default();
            seen.count += 1;
            // A wall clock that jumped must not make all visits look days long.
            let most_ms = VISIT_TIMES_MAX * self.spec.visit_ms();
            seen.total_ms += at_unix_ms.saturating_sub(since).min(most_ms);
        }
    }
}
