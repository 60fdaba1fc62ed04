use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{Absence, InstanceName, PoolName};

use super::{Trail, WaveKind, WaveSpec};

/// Cap on a recorded visit, as a multiple of its declared time: twice the timeout
/// after which an instance is set aside.
const MAX_VISIT_FACTOR: u64 = 16;

/// A maintenance wave and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Its settings.
    pub spec: WaveSpec,
    /// Whether it runs, is paused or has ended.
    pub state: WaveState,
    /// When it started, in milliseconds of Unix time.
    pub started_unix_ms: u64,
    /// When it ended, in milliseconds of Unix time.
    pub ended_unix_ms: Option<u64>,
    /// Instances not visited yet, by pool.
    pub pending: BTreeMap<PoolName, BTreeSet<InstanceName>>,
    /// Instances it has out of service, each with the start of its drain in
    /// milliseconds of Unix time.
    pub out: BTreeMap<InstanceName, u64>,
    /// Number of instances that returned.
    pub done: u32,
    /// Instances it skips, each with the reason.
    pub left_out: BTreeMap<InstanceName, String>,
    /// How often the visit of an instance was put off.
    pub put_off: BTreeMap<InstanceName, u32>,
    /// Completed visits by pool, from which the expected visit time is learned.
    pub seen: BTreeMap<PoolName, SeenVisits>,
    /// Audit trail of decisions about the wave.
    pub trail: Trail,
}

/// Completed visits of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVisits {
    /// Number of visits.
    pub count: u32,
    /// Sum of their times out of service, in milliseconds.
    pub total_ms: u64,
}

impl SeenVisits {
    /// Returns the mean, or none for fewer than two visits: two are enough to tell
    /// a declared time that is wrong by a factor of four from ordinary spread.
    fn mean_ms(self) -> Option<u64> {
        let mean_ms = self.total_ms.checked_div(u64::from(self.count))?;
        (self.count >= 2).then_some(mean_ms.max(1))
    }
}

/// State of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum WaveState {
    /// It visits instances.
    #[display("running")]
    Running,
    /// The budget of a pool that it still has to visit is broken.
    #[display("paused: {why}")]
    Paused {
        /// The pool.
        pool: PoolName,
        /// The budget calculation when the wave was paused.
        why: String,
    },
    /// All instances were visited or skipped.
    #[display("done")]
    Done,
    /// An operator stopped it.
    #[display("stopped")]
    Stopped,
}

impl Wave {
    /// Whether it is running or paused.
    pub fn is_active(&self) -> bool {
        matches!(self.state, WaveState::Running | WaveState::Paused { .. })
    }

    /// Number of instances not visited yet.
    pub fn pending_len(&self) -> usize {
        self.pending.values().map(BTreeSet::len).sum()
    }

    /// Expected time out of service of one instance, in milliseconds: the mean over
    /// all pools, or the declared time without enough visits.
    pub fn visit_ms(&self) -> u64 {
        let mut total = SeenVisits::default();
        for seen in self.seen.values() {
            total.count += seen.count;
            total.total_ms += seen.total_ms;
        }
        total.mean_ms().unwrap_or_else(|| self.spec.visit_ms())
    }

    /// Expected time out of service of one instance of `pool`, in milliseconds: the
    /// mean of that pool, or the declared time without enough visits. The run
    /// times of a pool's services determine how long its instances drain.
    pub fn pool_visit_ms(&self, pool: &PoolName) -> u64 {
        let seen = self.seen.get(pool).copied().unwrap_or_default();
        seen.mean_ms().unwrap_or_else(|| self.spec.visit_ms())
    }

    /// The absence of the instances it takes out of service.
    pub fn absence(&self) -> Absence {
        let wave = self.spec.name.clone();
        match self.spec.kind {
            WaveKind::Reboot => Absence::Reboot { wave },
            WaveKind::Replace => Absence::Replace { wave },
        }
    }

    pub(super) fn add_pending(&mut self, pool: &PoolName, instance: &InstanceName) {
        let set = self.pending.entry(pool.clone()).or_default();
        set.insert(instance.clone());
    }

    /// Removes an instance from the pending ones and returns whether it was one.
    pub(super) fn remove_pending(&mut self, pool: &PoolName, instance: &InstanceName) -> bool {
        let Some(set) = self.pending.get_mut(pool) else {
            return false;
        };
        let was_pending = set.remove(instance);
        if set.is_empty() {
            self.pending.remove(pool);
        }
        was_pending
    }

    pub(super) fn record_return(
        &mut self,
        pool: &PoolName,
        instance: &InstanceName,
        at_unix_ms: u64,
    ) {
        if let Some(since) = self.out.remove(instance) {
            self.done += 1;
            let seen = self.seen.entry(pool.clone()).or_default();
            seen.count += 1;
            // Caps the effect of a wall clock that jumps: visits must not look days long.
            let max_ms = MAX_VISIT_FACTOR * self.spec.visit_ms();
            seen.total_ms += at_unix_ms.saturating_sub(since).min(max_ms);
        }
    }
}
