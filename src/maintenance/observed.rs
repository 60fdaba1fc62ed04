use std::collections::BTreeMap;

use crate::model::{EntryName, InstanceName, UpstreamReport};

/// What the leader has heard, beside the replicated fleet.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Unix time, in milliseconds; compared only with times in the fleet.
    pub unix_ms: u64,
    /// The index up to which the fleet handed in is applied.
    pub applied_index: u64,
    /// The last report of each instance that was heard.
    pub instances: BTreeMap<InstanceName, InstanceSeen>,
    /// Every entry instance of the membership, one never heard included: a move
    /// waits for all of them.
    pub entries: BTreeMap<EntryName, EntryAck>,
}

/// The last report of an instance: the highest sequence of the highest
/// incarnation.
#[derive(Clone, Debug)]
pub struct InstanceSeen {
    /// What it said.
    pub report: UpstreamReport,
    /// When it was heard, on the clock of `now_ms`.
    pub heard_ms: u64,
    /// Whether the dispatchers found that it fails what it is given.
    pub sick: bool,
}

/// What an entry instance last acknowledged.
#[derive(Clone, Debug, Default)]
pub struct EntryAck {
    /// The index up to which its dispatcher had applied the state.
    pub applied_index: u64,
    /// What it had in flight then; an instance left out had none.
    pub in_flight: BTreeMap<InstanceName, u32>,
}

impl InstanceSeen {
    /// Whether the report is younger than `lease_ms`.
    pub fn is_fresh(&self, now_ms: u64, lease_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_ms) < lease_ms
    }
}
