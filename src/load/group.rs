use std::collections::BTreeSet;

use super::health::FailureRate;

/// Share of a new run in the pool's mean slowness: about the last 64 count.
const GAIN: f64 = 1.0 / 64.0;

/// Upstreams of one pool in one availability zone, summed up.
#[derive(Clone, Debug, Default)]
pub(super) struct Group {
    /// Instances in the replicated state.
    pub members: usize,
    /// Upstreams whose lease, duty and standing let them take requests.
    pub live: usize,
    /// Requests of ours they may hold, by what is known of the others'.
    pub allowed: u32,
    /// Requests of other entry instances, as far as known.
    pub foreign: u32,
    /// Requests of ours in flight: urgent, patient.
    pub in_flight: [u32; 2],
    /// Since when none is live.
    pub down_since_ms: Option<u64>,
}

/// Upstreams of one pool.
#[derive(Clone, Debug)]
pub(super) struct PoolLoad {
    /// By zone.
    pub groups: Vec<Group>,
    /// Members by index, in the order in which they became known.
    pub members: BTreeSet<usize>,
    /// Services it carries, by index.
    pub services: Vec<usize>,
    /// Live members that are ejected.
    pub ejected: usize,
    /// Failures of all its members.
    pub rate: FailureRate,
    /// How many times longer than usual its requests run, on average.
    pub slowness: f64,
    /// One more would have been ejected if that were allowed, until this time.
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

    /// A whole answer came, after this many times the usual run time.
    pub(super) fn answered(&mut self, ratio: f64) {
        self.rate.saw(false);
        self.slowness += GAIN * (ratio - self.slowness);
    }

    pub(super) fn live(&self) -> usize {
        self.groups.iter().map(|g| g.live).sum()
    }
}
