use crate::model::{EntryName, InstanceName, UpstreamState};

use super::{ControllerSettings, InstanceSeen, Observed};

/// Collects the proof that nothing dispatches to a draining instance any more.
///
/// Without it a silent entry instance, dead or cut off, could go on sending the
/// old pool's requests to an instance that serves the new pool already: two
/// pools at once. There are two ways to the proof:
///
/// - every entry instance of the membership acknowledged the drain with nothing
///   in flight to the instance. An entry that applied the drain does not
///   dispatch to that epoch again, so an old acknowledgement stays good;
/// - the upstream itself said `Draining` under the drain's epoch, kept saying so
///   for a dispatch lease and the clock margin, and has nothing running. A
///   silent entry dispatches only while it holds a report with `Serving` that is
///   younger than the lease; the last of those was sent before the first
///   `Draining`, so every such permission has run out.
///
/// Assumes of clocks: two processes' monotonic clocks differ by less than the
/// clock margin over one lease, and no report is on its way for longer than the
/// margin. Wall clocks do not matter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopProof {
    epoch: u64,
    drain_index: u64,
    draining: Option<DrainingSeen>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DrainingSeen {
    incarnation: u64,
    since_ms: u64,
}

/// Whether an instance has provably stopped.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Verdict {
    /// Every entry instance acknowledged with nothing in flight.
    #[display("all entry instances acknowledged")]
    Acknowledged,
    /// Every permission to dispatch has run out and nothing runs.
    #[display("every permission to dispatch has run out")]
    LeaseRanOut,
    /// Some entry instances did not acknowledge the drain.
    #[display("entry instance {} has not acknowledged the drain", list(_0))]
    Silent(Vec<EntryName>),
    /// An entry instance has requests in flight.
    #[display("entry instance {entry} has {count} requests in flight")]
    InFlight {
        /// The entry instance.
        entry: EntryName,
        /// Its requests.
        count: u32,
    },
    /// The instance is not heard: it may have died with its last report.
    #[display("the instance was not heard for a lease")]
    Unheard,
    /// The upstream says that requests run.
    #[display("{_0} requests run on it")]
    Running(u32),
}

impl Verdict {
    /// Whether it is a proof.
    pub fn is_stopped(&self) -> bool {
        matches!(self, Self::Acknowledged | Self::LeaseRanOut)
    }
}

impl StopProof {
    /// Starts for a drain under `epoch` that is in the state at `drain_index`.
    /// An index later than the drain's own only asks for more.
    pub fn new(epoch: u64, drain_index: u64) -> Self {
        Self {
            epoch,
            drain_index,
            draining: None,
        }
    }

    /// The epoch of the drain.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes in the instance's last report.
    pub fn hear(&mut self, seen: &InstanceSeen) {
        let report = &seen.report;
        if report.standing == UpstreamState::Serving || report.pool_epoch != self.epoch {
            self.draining = None;
            return;
        }
        let known = self.draining.map(|d| d.incarnation);
        if known != Some(report.incarnation) {
            self.draining = Some(DrainingSeen {
                incarnation: report.incarnation,
                since_ms: seen.heard_ms,
            });
        }
    }

    /// Judges what was heard up to now.
    pub fn verdict(
        &self,
        now_ms: u64,
        settings: &ControllerSettings,
        instance: &InstanceName,
        observed: &Observed,
    ) -> Verdict {
        let seen = observed.instances.get(instance);
        let fresh = seen.filter(|s| s.is_fresh(now_ms, settings.dispatch_lease_ms));
        // Without a recent report an instance that has just died would change
        // pool before its failure shows.
        let Some(fresh) = fresh else {
            return Verdict::Unheard;
        };
        // An entry that restarted has nothing in flight, but what it sent
        // before may still run: the upstream has the last word.
        if fresh.report.running > 0 {
            return Verdict::Running(fresh.report.running);
        }
        if self.lease_ran_out(settings, fresh) {
            return Verdict::LeaseRanOut;
        }
        self.acknowledged(instance, observed)
    }

    /// Looks at one report alone: it was heard a lease and the margin after the
    /// first one with `Draining`, and its count was taken after that one.
    fn lease_ran_out(&self, settings: &ControllerSettings, seen: &InstanceSeen) -> bool {
        let Some(draining) = self.draining else {
            return false;
        };
        let wait_ms = settings.dispatch_lease_ms + settings.clock_margin_ms;
        let counted_ms = seen.heard_ms.saturating_sub(seen.report.usage_age_ms);
        seen.heard_ms >= draining.since_ms + wait_ms && counted_ms > draining.since_ms
    }

    fn acknowledged(&self, instance: &InstanceName, observed: &Observed) -> Verdict {
        let behind = |ack: u64| ack < self.drain_index;
        let silent: Vec<EntryName> = observed
            .entries
            .iter()
            .filter(|(_, ack)| behind(ack.applied_index))
            .map(|(entry, _)| entry.clone())
            .collect();
        if !silent.is_empty() || observed.entries.is_empty() {
            return Verdict::Silent(silent);
        }
        for (entry, ack) in &observed.entries {
            let count = ack.in_flight.get(instance).copied().unwrap_or(0);
            if count > 0 {
                let entry = entry.clone();
                return Verdict::InFlight { entry, count };
            }
        }
        Verdict::Acknowledged
    }
}

fn list(entries: &[EntryName]) -> String {
    let names: Vec<&str> = entries.iter().map(EntryName::as_str).collect();
    names.join(", ")
}
