use std::collections::BTreeSet;

use super::health::FailureRate;

/// Weight of a new run in the mean slowness of the pool: about the last 64 runs count.
const GAIN: f64 = 1.0 / 64.0;

/// Totals of the upstreams of one pool in one availability zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// Instances in the replicated state.
    pub members: usize,
    /// Upstreams whose lease, duty and standing let them take requests.
    pub live: usize,
    /// Requests of ours that they may hold, given what is known of the usage by others.
    pub allowed: u32,
    /// Requests of other entry instances, as far as known.
    pub foreign: u32,
    /// Requests of ours in flight, by class: urgent, patient.
    pub in_flight: [u32; 2],
    /// Since when no upstream has been live; `None` while one is.
    pub down_since_ms: Option<u64>,
}

/// Load and health of the upstreams of one pool.
#[derive(Clone, Debug)]
pub(super) struct PoolLoad {
    /// Totals by zone.
    pub groups: Vec<Group>,
    /// Members by index, in the order in which they became known.
    pub members: BTreeSet<usize>,
    /// Indexes of the services that it serves.
    pub services: Vec<usize>,
    /// Live members that are ejected.
    pub ejected: usize,
    /// Failure rate of all its members.
    pub rate: FailureRate,
    /// How many times longer than usual its requests run, on average.
    pub slowness: f64,
    /// Until when the pool counts as sick, because a further ejection was not allowed.
    pub sick_until_ms: u64,
}

impl PoolLoad {
    pub(super) fn new() -> Self {
        Self {
            groups: Vec::new(),
            members: BTreeSet::new(),
            services: Vec::new(),
            ejected: 0,
            rate: FailureRate::default(),
            slowness: 1.0,
            sick_until_ms: 0,
        }
    }

    /// Records a complete answer that took this many times the usual run time.
    pub(super) fn answered(&mut self, ratio: f64) {
        self.rate.record(false);
        self.slowness += GAIN * (ratio - self.slowness);
    }

    pub(super) fn live(&self) -> usize {
        self.groups.iter().map(|g| g.live).sum()
    }
}
