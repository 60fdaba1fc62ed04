use std::collections::BTreeMap;

use crate::model::{InstanceName, UpstreamState};

use super::{ControllerSettings, InstanceSeen};

/// Flaps that still lengthen the stable time: 2^4 times.
const FLAPS_MAX: u32 = 4;

/// Time without a failure after which flaps are forgotten.
const FLAP_MEMORY_MS: u64 = 3_600_000;

/// Tells failed instances from live ones, with damping.
///
/// Without damping, an instance that comes and goes each few seconds writes the
/// log full and takes its pool's budget up and down with it. Here a failure
/// counts at once, and a return only after a stable time that doubles with each
/// flap: at most two entries in the log per stable time.
#[derive(Clone, Debug)]
pub struct Detector {
    started_ms: u64,
    watched: BTreeMap<InstanceName, Watch>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Watch {
    good_since_ms: Option<u64>,
    flaps: u32,
    failed_ms: u64,
}

impl Detector {
    /// Starts without a memory: an instance not heard yet is given as long from
    /// now as if it had been heard now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            watched: BTreeMap::new(),
        }
    }

    /// Whether the instance's state should change: to failed (`true`), to back
    /// (`false`), or not at all.
    pub fn judge(
        &mut self,
        now_ms: u64,
        settings: &ControllerSettings,
        name: &InstanceName,
        failed: bool,
        seen: Option<&InstanceSeen>,
    ) -> Option<bool> {
        let good = self.is_good(now_ms, settings, seen);
        if !failed {
            if !good {
                self.count_flap(now_ms, name);
            }
            return (!good).then_some(true);
        }
        let watch = self.watched.entry(name.clone()).or_default();
        if !good {
            watch.good_since_ms = None;
            return None;
        }
        let since_ms = *watch.good_since_ms.get_or_insert(now_ms);
        let stable_ms = settings.stable_ms << watch.flaps.saturating_sub(1).min(FLAPS_MAX);
        (now_ms.saturating_sub(since_ms) >= stable_ms).then_some(false)
    }

    /// Forgets an instance that left.
    pub fn forget(&mut self, name: &InstanceName) {
        self.watched.remove(name);
    }

    fn is_good(
        &self,
        now_ms: u64,
        settings: &ControllerSettings,
        seen: Option<&InstanceSeen>,
    ) -> bool {
        let heard_ms = seen.map_or(self.started_ms, |s| s.heard_ms.max(self.started_ms));
        let heard = now_ms.saturating_sub(heard_ms) < settings.failed_after_ms;
        let bad = seen.is_some_and(|s| s.sick || s.report.standing == UpstreamState::Leaving);
        heard && !bad
    }

    fn count_flap(&mut self, now_ms: u64, name: &InstanceName) {
        let watch = self.watched.entry(name.clone()).or_default();
        // Until the failure is in the state it is judged again each step; only
        // the first sight of it counts.
        if watch.good_since_ms.is_none() && watch.flaps > 0 {
            return;
        }
        if now_ms.saturating_sub(watch.failed_ms) > FLAP_MEMORY_MS {
            watch.flaps = 0;
        }
        watch.flaps += 1;
        watch.failed_ms = now_ms;
        watch.good_since_ms = None;
    }
}
