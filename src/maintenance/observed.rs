use std::collections::BTreeMap;

use crate::model::{EntryName, InstanceName, UpstreamReport};

/// Reports and acknowledgements received by the leader; not replicated.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Unix time, in milliseconds; compared only with times in the fleet.
    pub unix_ms: u64,
    /// Log index up to which the fleet passed along with this value is applied.
    pub applied_index: u64,
    /// The last report of each instance that has sent one.
    pub instances: BTreeMap<InstanceName, InstanceSeen>,
    /// Every entry instance of the membership, even without any acknowledgement: a
    /// move waits for all of them.
    pub entries: BTreeMap<EntryName, EntryAck>,
}

/// The last report of an instance: the highest sequence of the highest
/// incarnation.
#[derive(Clone, Debug)]
pub struct InstanceSeen {
    /// The report.
    pub report: UpstreamReport,
    /// When the report arrived, on the monotonic clock of `now_ms`.
    pub heard_ms: u64,
    /// Whether the dispatchers found that the instance fails its requests.
    pub sick: bool,
}

/// The last acknowledgement of an entry instance.
#[derive(Clone, Debug, Default)]
pub struct EntryAck {
    /// Log index up to which its dispatcher had applied the state.
    pub applied_index: u64,
    /// Its requests in flight at that time by instance; zero for instances not listed.
    pub in_flight: BTreeMap<InstanceName, u32>,
}

impl InstanceSeen {
    /// Whether the report is younger than `lease_ms`.
    pub fn is_fresh(&self, now_ms: u64, lease_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_ms) < lease_ms
    }
}
