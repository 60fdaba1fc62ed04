use std::collections::BTreeMap;

use crate::model::{InstanceName, UpstreamReport};

/// What is known of each upstream, and until when it counts.
///
/// A report is a lease on the upstream. One that stops refreshing, or that can
/// be heard neither directly nor through a peer, runs out here by itself, so
/// that an entry instance which was cut off sends nothing to an upstream that
/// left meanwhile.
#[derive(Debug, Default)]
pub struct Directory {
    upstreams: BTreeMap<InstanceName, Known>,
}

/// One upstream's newest report.
#[derive(Clone, Debug)]
pub struct Known {
    /// The report.
    pub report: UpstreamReport,
    /// When it was sent at the latest, on this process's clock.
    pub heard_ms: u64,
    /// When it was last heard from the upstream itself; none if only from peers.
    pub direct_ms: Option<u64>,
}

impl Directory {
    /// Takes in a report and says whether it is news.
    ///
    /// `direct` tells whether the upstream sent it here itself. An older
    /// incarnation or sequence never replaces a newer one.
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
        let order = (report.incarnation, report.sequence);
        let present = (known.report.incarnation, known.report.sequence);
        if order < present || (order == present && heard_ms <= known.heard_ms) {
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

    /// All upstreams ever heard of and not yet forgotten.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Known)> {
        self.upstreams.iter()
    }

    /// Forgets upstreams not heard for `keep_ms`.
    pub fn forget(&mut self, now_ms: u64, keep_ms: u64) {
        self.upstreams
            .retain(|_, known| known.heard_ms + keep_ms > now_ms);
    }
}
