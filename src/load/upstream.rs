use std::collections::BTreeMap;

use crate::model::{
    Capacity, Demand, EntryName, InstanceName, RackName, UpstreamReport, UpstreamState,
};

use super::health::HealthRecord;
use super::limit::ConcurrencyLimit;
use super::shares::{Foreign, PEER_STALE_MS, SLOT_CLAIM_MS, USAGE_STALE_MS, slot_share};

/// One upstream as this entry instance knows it.
#[derive(Debug)]
pub(super) struct Upstream {
    pub name: InstanceName,
    /// Distinguishes its attempts from those of other incarnations.
    pub generation: u64,
    pub rack: Option<RackName>,
    /// Index of its zone, from its report.
    pub zone: Option<usize>,
    /// Index of its pool and the epoch, from the replicated state.
    pub pool: Option<usize>,
    pub epoch: u64,
    /// Whether its duty in the replicated state is serving.
    pub serves: bool,
    pub lease_until_ms: u64,
    pub record: HealthRecord,
    pub limit: ConcurrencyLimit,
    /// Concurrency limit while it warms up; `None` once it is warm.
    pub warm_up: Option<u32>,
    /// It gets no requests before this time.
    pub paused_until_ms: u64,
    /// Service for whose large requests it is reserved.
    pub reserved_for: Option<usize>,
    pub last_dispatch_ms: u64,
    /// Its current contribution to the sums of its group (see `Upstreams::refresh`).
    pub contribution: GroupContribution,
    report: Option<LastReport>,
    used: UsedResources,
    in_flight: u32,
    /// Peak of our requests in flight since the last report, and in the period before.
    peak_in_flight: [u32; 2],
    peers: BTreeMap<EntryName, PeerUsage>,
    usage: PeerUsage,
    claim_until_ms: u64,
}

/// The parts of the last report that are kept.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    incarnation: u64,
    sequence: u64,
    capacity: Capacity,
    standing: UpstreamState,
}

/// Requests of another entry instance, and when they were reported.
#[derive(Clone, Copy, Debug, Default)]
struct PeerUsage {
    requests: u32,
    heard_ms: u64,
}

/// Resources held by the requests of this entry instance.
#[derive(Clone, Copy, Debug, Default)]
struct UsedResources {
    cores: u64,
    memory_mib: u64,
    accelerators: u64,
}

/// What an upstream adds to the sums of its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct GroupContribution {
    /// Indexes of its pool and zone.
    pub group: Option<(usize, usize)>,
    pub allowed: u32,
    pub foreign: u32,
    pub ejected: bool,
}

/// What a new report changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Change {
    /// Older than the last one known, so it changes nothing.
    pub is_stale: bool,
    /// The capacity differs.
    pub capacity: bool,
    /// The upstream restarted since the last report.
    pub restarted: bool,
}

impl Upstream {
    pub(super) fn new(name: InstanceName, generation: u64) -> Self {
        Self {
            name,
            generation,
            rack: None,
            zone: None,
            pool: None,
            epoch: 0,
            serves: false,
            lease_until_ms: 0,
            record: HealthRecord::new(),
            limit: ConcurrencyLimit::new(0),
            warm_up: None,
            paused_until_ms: 0,
            reserved_for: None,
            last_dispatch_ms: 0,
            contribution: GroupContribution::default(),
            report: None,
            used: UsedResources::default(),
            in_flight: 0,
            peak_in_flight: [0; 2],
            peers: BTreeMap::new(),
            usage: PeerUsage::default(),
            claim_until_ms: 0,
        }
    }

    /// Applies a report. One of an older incarnation or sequence has arrived late
    /// through a peer and must not overwrite newer state: otherwise an upstream that
    /// announced its leaving would be used again.
    pub(super) fn report(&mut self, now_ms: u64, report: &UpstreamReport, lease_ms: u64) -> Change {
        let order = |last: &LastReport| (last.incarnation, last.sequence);
        let new = (report.incarnation, report.sequence);
        if self.report.as_ref().is_some_and(|last| order(last) > new) {
            return Change {
                is_stale: true,
                ..Change::default()
            };
        }
        let old = self.report;
        let restarted = old.is_some_and(|last| last.incarnation != report.incarnation);
        if restarted {
            self.reset_for_incarnation();
        }
        let is_new = old.is_none_or(|last| order(&last) != new);
        self.lease_until_ms = if is_new {
            lease_ms
        } else {
            self.lease_until_ms.max(lease_ms)
        };
        self.report = Some(LastReport {
            incarnation: report.incarnation,
            sequence: report.sequence,
            capacity: report.capacity,
            standing: report.standing,
        });
        self.rack = Some(report.rack.clone());
        self.limit.set_slots(slots(&report.capacity));
        if is_new {
            self.record_foreign_usage(now_ms, report);
        }
        Change {
            is_stale: false,
            capacity: old.is_none_or(|last| last.capacity != report.capacity),
            restarted,
        }
    }

    /// Takes the requests of other entry instances from a report. The report describes
    /// a moment in the past, so the peak of our own requests since then is subtracted
    /// from its count. With the current number instead, requests of ours that have
    /// ended since would count as foreign and block slots without need.
    fn record_foreign_usage(&mut self, now_ms: u64, report: &UpstreamReport) {
        let ours = self.peak_in_flight[0].max(self.peak_in_flight[1]);
        self.usage = PeerUsage {
            requests: report.running.saturating_sub(ours),
            heard_ms: now_ms.saturating_sub(report.usage_age_ms),
        };
        self.peak_in_flight = [self.in_flight, self.peak_in_flight[0]];
    }

    /// Resets the state, since a new incarnation runs no request of the old one.
    fn reset_for_incarnation(&mut self) {
        self.in_flight = 0;
        self.peak_in_flight = [0; 2];
        self.used = UsedResources::default();
        self.record = HealthRecord::new();
        self.limit = ConcurrencyLimit::new(0);
        self.paused_until_ms = 0;
        self.reserved_for = None;
        self.peers.clear();
    }

    pub(super) fn is_known(&self) -> bool {
        self.report.is_some()
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.report.map_or(0, |last| last.incarnation)
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether its lease, standing, pool and duty let it take requests at all.
    pub(super) fn is_live(&self, now_ms: u64) -> bool {
        self.serves
            && self.pool.is_some()
            && self.lease_until_ms > now_ms
            && self
                .report
                .is_some_and(|r| r.standing == UpstreamState::Serving)
    }

    /// Returns how many of our requests it may hold now.
    pub(super) fn allowed(&self, now_ms: u64) -> u32 {
        if !self.is_live(now_ms) || self.record.is_ejected() || self.paused_until_ms > now_ms {
            return 0;
        }
        let limit = slot_share(self.limit.get(), self.foreign(now_ms));
        if self.record.is_on_probation() {
            return limit.min(1);
        }
        limit.min(self.warm_up.unwrap_or(u32::MAX))
    }

    pub(super) fn foreign(&self, now_ms: u64) -> Foreign {
        let fresh = |peer: &&PeerUsage| peer.heard_ms + PEER_STALE_MS > now_ms && peer.requests > 0;
        let mut sum = Foreign::default();
        for peer in self.peers.values().filter(fresh) {
            sum.requests += peer.requests;
            sum.entries += 1;
        }
        if self.usage.heard_ms + USAGE_STALE_MS > now_ms && self.usage.requests > sum.requests {
            sum.requests = self.usage.requests;
            sum.entries = sum.entries.max(1);
        }
        sum
    }

    /// Returns when known usage by other entry instances next expires, if any counts
    /// now.
    pub(super) fn foreign_until_ms(&self, now_ms: u64) -> Option<u64> {
        let peers = self.peers.values().filter(|p| p.requests > 0);
        let peers = peers.map(|p| p.heard_ms + PEER_STALE_MS);
        let usage = (self.usage.requests > 0).then_some(self.usage.heard_ms + USAGE_STALE_MS);
        peers.chain(usage).filter(|&at| at > now_ms).min()
    }

    pub(super) fn set_peer(&mut self, now_ms: u64, peer: &EntryName, requests: u32) {
        if requests == 0 {
            self.peers.remove(peer);
            return;
        }
        let heard = PeerUsage {
            requests,
            heard_ms: now_ms,
        };
        self.peers.insert(peer.clone(), heard);
    }

    /// Returns whether the demand fits beside the requests in flight. Foreign requests
    /// are assumed to be as large as this one, since their size is not known.
    pub(super) fn fits(&self, demand: &Demand, now_ms: u64) -> bool {
        let Some(LastReport { capacity, .. }) = self.report else {
            return false;
        };
        let n = u64::from(self.foreign(now_ms).requests) + 1;
        self.used.cores + n * u64::from(demand.cores) <= u64::from(capacity.cores)
            && self.used.memory_mib + n * u64::from(demand.memory_mib)
                <= u64::from(capacity.memory_mib)
            && self.used.accelerators + n * u64::from(demand.accelerators)
                <= u64::from(capacity.accelerators)
    }

    /// Returns whether the demand would fit if nothing else ran.
    pub(super) fn is_large_enough(&self, demand: &Demand) -> bool {
        self.report.is_some_and(|last| {
            let capacity = last.capacity;
            slots(&capacity) > 0
                && demand.cores <= capacity.cores
                && demand.memory_mib <= capacity.memory_mib
                && demand.accelerators <= capacity.accelerators
        })
    }

    pub(super) fn started(&mut self, now_ms: u64, demand: &Demand) {
        self.in_flight += 1;
        self.peak_in_flight[0] = self.peak_in_flight[0].max(self.in_flight);
        self.last_dispatch_ms = now_ms;
        self.used.cores += u64::from(demand.cores);
        self.used.memory_mib += u64::from(demand.memory_mib);
        self.used.accelerators += u64::from(demand.accelerators);
    }

    pub(super) fn ended(&mut self, demand: &Demand) {
        let used = &mut self.used;
        self.in_flight = self.in_flight.saturating_sub(1);
        used.cores = used.cores.saturating_sub(u64::from(demand.cores));
        used.memory_mib = used.memory_mib.saturating_sub(u64::from(demand.memory_mib));
        let accelerators = u64::from(demand.accelerators);
        used.accelerators = used.accelerators.saturating_sub(accelerators);
    }

    /// Records that the upstream had no free slot for a request of ours.
    pub(super) fn record_busy(&mut self, now_ms: u64) {
        self.claim_until_ms = now_ms + SLOT_CLAIM_MS;
        let foreign = self.foreign(now_ms).requests;
        self.limit.record_busy(self.in_flight + foreign);
    }

    /// Returns our requests there, plus one if one was refused recently.
    pub(super) fn claimed(&self, now_ms: u64) -> u32 {
        self.in_flight + u32::from(self.claim_until_ms > now_ms)
    }

    pub(super) fn is_in_use(&self, now_ms: u64) -> bool {
        self.in_flight > 0 || self.claim_until_ms > now_ms || self.lease_until_ms > now_ms
    }
}

/// Returns the usable slots: a request holds a slot and a connection.
fn slots(capacity: &Capacity) -> u32 {
    capacity.slots.min(capacity.connections)
}
