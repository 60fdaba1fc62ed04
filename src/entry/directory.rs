use std::collections::BTreeMap;

use crate::model::{InstanceName, UpstreamReport};

/// The newest report of each upstream.
///
/// A report is a lease on the upstream. The lease of an upstream that stops refreshing,
/// or that is heard neither directly nor through a peer, runs out here, so that an
/// entry instance which was cut off sends nothing to an upstream that has left
/// meanwhile.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: BTreeMap<InstanceName, Known>,
}

/// One upstream's newest report.
#[derive(Clone, Debug)]
pub struct Known {
    /// The report.
    pub report: UpstreamReport,
    /// Latest time at which it can have been sent, on this process's clock.
    pub heard_ms: u64,
    /// Time of the last report received from the upstream itself; none if all came
    /// through peers.
    pub direct_ms: Option<u64>,
}

impl Directory {
    /// Records a report; returns `false` if it is not newer than the known one.
    ///
    /// `direct` is set if the upstream itself sent the report here. An older
    /// incarnation or sequence number never replaces a newer one.
    pub fn hear(&mut self, report: &UpstreamReport, heard_ms: u64, direct: bool) -> bool {
        let direct_ms = direct.then_some(heard_ms);
        let Some(known) = self.upstreams.get_mut(&report.instance) else {
            let known = Known {
                report: report.clone(),
                heard_ms,
                direct_ms,
            };
            self.upstreams.insert(report.instance.clone(), known);
            return true;
        };
        let received = (report.incarnation, report.sequence);
        let current = (known.report.incarnation, known.report.sequence);
        if received < current || (received == current && heard_ms <= known.heard_ms) {
            return false;
        }
        known.report = report.clone();
        known.heard_ms = known.heard_ms.max(heard_ms);
        known.direct_ms = direct_ms.or(known.direct_ms);
        true
    }

    /// The upstream's newest report.
    pub fn get(&self, instance: &InstanceName) -> Option<&Known> {
        self.upstreams.get(instance)
    }

    /// All upstreams that are not forgotten yet.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Known)> {
        self.upstreams.iter()
    }

    /// Forgets upstreams without a report for `keep_ms`.
    pub fn forget(&mut self, now_ms: u64, keep_ms: u64) {
        self.upstreams
            .retain(|_, known| known.heard_ms + keep_ms > now_ms);
    }
}
