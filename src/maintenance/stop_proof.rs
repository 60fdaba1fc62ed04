use crate::model::{EntryName, InstanceName, UpstreamState};

use super::{ControllerSettings, InstanceSeen, Observed};

/// Proves that no entry instance dispatches to a draining instance any more.
///
/// Otherwise an entry instance that is down or partitioned could go on sending
/// requests of the old pool to an instance that already serves the new pool.
/// Either of two conditions is a proof:
///
/// - Every entry instance of the membership acknowledged the drain with no request
///   in flight to the instance. An entry that applied the drain does not dispatch
///   to that epoch again, so an old acknowledgement stays valid.
/// - The upstream itself reported `Draining` under the drain's epoch for a dispatch
///   lease plus the clock margin, and runs nothing. A partitioned entry dispatches
///   only while it holds a `Serving` report that is younger than the lease; the
///   last of those was sent before the first `Draining`, so all such leases have
///   expired.
///
/// This assumes that the monotonic clocks of two processes drift apart by less than
/// the clock margin over one lease, and that no report is in transit for longer
/// than the margin. Wall clocks do not matter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopProof {
    epoch: u64,
    drain_index: u64,
    draining: Option<FirstDraining>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FirstDraining {
    incarnation: u64,
    since_ms: u64,
}

/// Result of checking whether an instance has provably stopped.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Verdict {
    /// Every entry instance acknowledged the drain with nothing in flight.
    #[display("all entry instances acknowledged")]
    Acknowledged,
    /// Every dispatch lease has expired and nothing runs.
    #[display("every permission to dispatch has run out")]
    LeaseExpired,
    /// Some entry instances did not acknowledge the drain.
    #[display("entry instance {} has not acknowledged the drain", join_names(_0))]
    Unacknowledged(Vec<EntryName>),
    /// An entry instance has requests in flight.
    #[display("entry instance {entry} has {count} requests in flight")]
    InFlight {
        /// The entry instance.
        entry: EntryName,
        /// Number of its requests.
        count: u32,
    },
    /// No report within a dispatch lease: the instance may have failed right after
    /// its last report.
    #[display("the instance was not heard for a lease")]
    NoRecentReport,
    /// The upstream reports running requests.
    #[display("{_0} requests run on it")]
    Running(u32),
}

impl Verdict {
    /// Whether the instance has provably stopped.
    pub fn is_stopped(&self) -> bool {
        matches!(self, Self::Acknowledged | Self::LeaseExpired)
    }
}

impl StopProof {
    /// Creates a proof for a drain under `epoch` that is applied at `drain_index`.
    /// An index later than the drain's own is stricter, but safe.
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

    /// Records the instance's last report.
    pub fn record_report(&mut self, seen: &InstanceSeen) {
        let report = &seen.report;
        if report.standing == UpstreamState::Serving || report.pool_epoch != self.epoch {
            self.draining = None;
            return;
        }
        let recorded = self.draining.map(|d| d.incarnation);
        if recorded != Some(report.incarnation) {
            self.draining = Some(FirstDraining {
                incarnation: report.incarnation,
                since_ms: seen.heard_ms,
            });
        }
    }

    /// Evaluates the reports and acknowledgements received so far.
    pub fn verdict(
        &self,
        now_ms: u64,
        settings: &ControllerSettings,
        instance: &InstanceName,
        observed: &Observed,
    ) -> Verdict {
        let seen = observed.instances.get(instance);
        let fresh = seen.filter(|s| s.is_fresh(now_ms, settings.dispatch_lease_ms));
        // Without a recent report, an instance that has just failed would change
        // pool before its failure is detected.
        let Some(fresh) = fresh else {
            return Verdict::NoRecentReport;
        };
        // An entry that restarted has nothing in flight, but requests that it sent
        // before may still run: the count of the upstream takes precedence.
        if fresh.report.running > 0 {
            return Verdict::Running(fresh.report.running);
        }
        if self.lease_expired(settings, fresh) {
            return Verdict::LeaseExpired;
        }
        self.acknowledged(instance, observed)
    }

    /// Whether one report alone is a proof: it arrived a lease plus the margin after
    /// the first `Draining` report, and its count was taken after that one.
    fn lease_expired(&self, settings: &ControllerSettings, seen: &InstanceSeen) -> bool {
        let Some(draining) = self.draining else {
            return false;
        };
        let wait_ms = settings.dispatch_lease_ms + settings.clock_margin_ms;
        let counted_ms = seen.heard_ms.saturating_sub(seen.report.usage_age_ms);
        seen.heard_ms >= draining.since_ms + wait_ms && counted_ms > draining.since_ms
    }

    fn acknowledged(&self, instance: &InstanceName, observed: &Observed) -> Verdict {
        let behind = |ack: u64| ack < self.drain_index;
        let unacknowledged: Vec<EntryName> = observed
            .entries
            .iter()
            .filter(|(_, ack)| behind(ack.applied_index))
            .map(|(entry, _)| entry.clone())
            .collect();
        if !unacknowledged.is_empty() || observed.entries.is_empty() {
            return Verdict::Unacknowledged(unacknowledged);
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

fn join_names(entries: &[EntryName]) -> String {
    let names: Vec<&str> = entries.iter().map(EntryName::as_str).collect();
    names.join(", ")
}
