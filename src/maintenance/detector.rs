use std::collections::BTreeMap;

use crate::model::{InstanceName, UpstreamState};

use super::{ControllerSettings, InstanceSeen};

/// Most doublings of the stable time by flaps.
const MAX_FLAP_DOUBLINGS: u32 = 4;

/// Time since the last failure after which the flap count is reset.
const FLAP_RESET_MS: u64 = 3_600_000;

/// Detects failed and recovered instances, with flap damping.
///
/// Without damping, an instance that fails and recovers every few seconds floods
/// the log and makes its pool's budget use oscillate. A failure counts at once; a
/// recovery counts only after a stable time that doubles with each flap, which
/// limits the log to two entries per stable time.
#[derive(Clone, Debug)]
pub struct Detector {
    started_ms: u64,
    histories: BTreeMap<InstanceName, FlapHistory>,
}

#[derive(Clone, Copy, Debug, Default)]
struct FlapHistory {
    healthy_since_ms: Option<u64>,
    flaps: u32,
    failed_ms: u64,
}

impl Detector {
    /// Creates a detector without history. An instance without a report gets the
    /// same time to report as if its last report had arrived at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            histories: BTreeMap::new(),
        }
    }

    /// Returns the change of the instance's health: `true` if it failed, `false` if
    /// it recovered, none if nothing changed.
    pub fn health_change(
        &mut self,
        now_ms: u64,
        settings: &ControllerSettings,
        name: &InstanceName,
        failed: bool,
        seen: Option<&InstanceSeen>,
    ) -> Option<bool> {
        let healthy = self.is_healthy(now_ms, settings, seen);
        if !failed {
            if !healthy {
                self.count_flap(now_ms, name);
            }
            return (!healthy).then_some(true);
        }
        let history = self.histories.entry(name.clone()).or_default();
        if !healthy {
            history.healthy_since_ms = None;
            return None;
        }
        let since_ms = *history.healthy_since_ms.get_or_insert(now_ms);
        let stable_ms =
            settings.stable_ms << history.flaps.saturating_sub(1).min(MAX_FLAP_DOUBLINGS);
        (now_ms.saturating_sub(since_ms) >= stable_ms).then_some(false)
    }

    /// Forgets an instance that left.
    pub fn forget(&mut self, name: &InstanceName) {
        self.histories.remove(name);
    }

    fn is_healthy(
        &self,
        now_ms: u64,
        settings: &ControllerSettings,
        seen: Option<&InstanceSeen>,
    ) -> bool {
        let heard_ms = seen.map_or(self.started_ms, |s| s.heard_ms.max(self.started_ms));
        let recent = now_ms.saturating_sub(heard_ms) < settings.failed_after_ms;
        let unhealthy = seen.is_some_and(|s| s.sick || s.report.standing == UpstreamState::Leaving);
        recent && !unhealthy
    }

    fn count_flap(&mut self, now_ms: u64, name: &InstanceName) {
        let history = self.histories.entry(name.clone()).or_default();
        // Until the failure is applied to the fleet, every step detects it again;
        // only the first detection counts as a flap.
        if history.healthy_since_ms.is_none() && history.flaps > 0 {
            return;
        }
        if now_ms.saturating_sub(history.failed_ms) > FLAP_RESET_MS {
            history.flaps = 0;
        }
        history.flaps += 1;
        history.failed_ms = now_ms;
        history.healthy_since_ms = None;
    }
}
