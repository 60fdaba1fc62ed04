use std::collections::BTreeMap;

use crate::model::{
    Capacity, Demand, EntryName, InstanceName, RackName, UpstreamReport, UpstreamState,
};

use super::health::Record;
use super::limit::Limit;
use super::shares::{Foreign, PEER_STALE_MS, USAGE_STALE_MS, WISH_MS, allowed};

/// One upstream as this entry instance knows it.
#[derive(Debug)]
pub(super) struct Upstream {
    pub name: InstanceName,
    /// Tells its attempts from those of other incarnations.
    pub generation: u64,
    pub rack: Option<RackName>,
    /// Index of its zone, from its report.
    pub zone: Option<usize>,
    /// Index of its pool and the epoch, from the replicated state.
    pub pool: Option<usize>,
    pub epoch: u64,
    pub serves: bool,
    pub lease_until_ms: u64,
    pub record: Record,
    pub limit: Limit,
    /// Requests at once while it warms up; none once it is warm.
    pub warm_up: Option<u32>,
    /// Gets nothing before this.
    pub held_until_ms: u64,
    /// Kept free for this service until a large request fits.
    pub reserved_for: Option<usize>,
    pub last_dispatch_ms: u64,
    /// What it counts for in its group's sums (see `Upstreams::refresh`).
    pub counted: Counted,
    report: Option<Seen>,
    used: Used,
    in_flight: u32,
    /// Most of ours in flight since the last report, and in the time before.
    peak: [u32; 2],
    peers: BTreeMap<EntryName, Peer>,
    usage: Peer,
    wish_until_ms: u64,
}

/// What of a report is kept.
#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: u64,
    sequence: u64,
    capacity: Capacity,
    standing: UpstreamState,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    requests: u32,
    heard_ms: u64,
}

/// Resources taken by our own requests.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    cores: u64,
    memory_mib: u64,
    accelerators: u64,
}

/// What an upstream counts for in its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Counted {
    /// Pool and zone.
    pub group: Option<(usize, usize)>,
    pub allowed: u32,
    pub foreign: u32,
    pub ejected: bool,
}

/// What a new report changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Change {
    /// Older than what is known: it must change nothing.
    pub is_stale: bool,
    /// Its capacity is new.
    pub capacity: bool,
    /// It started anew since the last report.
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
            record: Record::new(),
            limit: Limit::new(0),
            warm_up: None,
            held_until_ms: 0,
            reserved_for: None,
            last_dispatch_ms: 0,
            counted: Counted::default(),
            report: None,
            used: Used::default(),
            in_flight: 0,
            peak: [0; 2],
            peers: BTreeMap::new(),
            usage: Peer::default(),
            wish_until_ms: 0,
        }
    }

    /// Takes a report. A report of an older incarnation or sequence arrives late
    /// through a peer and must not undo what is known: else an upstream that
    /// said it leaves would be used again.
    pub(super) fn report(&mut self, now_ms: u64, report: &UpstreamReport, lease_ms: u64) -> Change {
        let order = |seen: &Seen| (seen.incarnation, seen.sequence);
        let new = (report.incarnation, report.sequence);
        if self.report.as_ref().is_some_and(|seen| order(seen) > new) {
            return Change {
                is_stale: true,
                ..Change::default()
            };
        }
        let old = self.report;
        let restarted = old.is_some_and(|seen| seen.incarnation != report.incarnation);
        if restarted {
            self.start_anew();
        }
        let is_new = old.is_none_or(|seen| order(&seen) != new);
        self.lease_until_ms = if is_new {
            lease_ms
        } else {
            self.lease_until_ms.max(lease_ms)
        };
        self.report = Some(Seen {
            incarnation: report.incarnation,
            sequence: report.sequence,
            capacity: report.capacity,
            standing: report.standing,
        });
        self.rack = Some(report.rack.clone());
        self.limit.set_slots(slots(&report.capacity));
        if is_new {
            self.count_others(now_ms, report);
        }
        Change {
            is_stale: false,
            capacity: old.is_none_or(|seen| seen.capacity != report.capacity),
            restarted,
        }
    }

    /// Takes what others run from a report. It describes a moment in the past: of
    /// what ran then as many as ever were ours since may have been ours. Compared
    /// with what is ours now, requests that ended on the way would count as those
    /// of others and keep slots free for nobody.
    fn count_others(&mut self, now_ms: u64, report: &UpstreamReport) {
        let ours = self.peak[0].max(self.peak[1]);
        self.usage = Peer {
            requests: report.running.saturating_sub(ours),
            heard_ms: now_ms.saturating_sub(report.usage_age_ms),
        };
        self.peak = [self.in_flight, self.peak[0]];
    }

    /// A new incarnation runs nothing of the old and owes nothing to it.
    fn start_anew(&mut self) {
        self.in_flight = 0;
        self.peak = [0; 2];
        self.used = Used::default();
        self.record = Record::new();
        self.limit = Limit::new(0);
        self.held_until_ms = 0;
        self.reserved_for = None;
        self.peers.clear();
    }

    pub(super) fn is_known(&self) -> bool {
        self.report.is_some()
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.report.map_or(0, |seen| seen.incarnation)
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether its lease, standing, pool and duty let it take requests at all.
    pub(super) fn is_live(&self, now_ms: u64) -> bool {
        self.serves
            && self.pool.is_some()
            && self.lease_until_ms > now_ms
            && self
                .report
                .is_some_and(|r| r.standing == UpstreamState::Serving)
    }

    /// Requests of ours it may hold now.
    pub(super) fn allowed(&self, now_ms: u64) -> u32 {
        if !self.is_live(now_ms) || self.record.is_ejected() || self.held_until_ms > now_ms {
            return 0;
        }
        let limit = allowed(self.limit.get(), self.foreign(now_ms));
        if self.record.is_on_probation() {
            return limit.min(1);
        }
        limit.min(self.warm_up.unwrap_or(u32::MAX))
    }

    pub(super) fn foreign(&self, now_ms: u64) -> Foreign {
        let fresh = |peer: &&Peer| peer.heard_ms + PEER_STALE_MS > now_ms && peer.requests > 0;
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

    /// When knowledge about others next runs out, if any counts now.
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
        let heard = Peer {
            requests,
            heard_ms: now_ms,
        };
        self.peers.insert(peer.clone(), heard);
    }

    /// Whether the demand fits beside what runs. Requests of others are taken to
    /// be as large as this one: what they are is not known.
    pub(super) fn fits(&self, demand: &Demand, now_ms: u64) -> bool {
        let Some(Seen { capacity, .. }) = self.report else {
            return false;
        };
        let n = u64::from(self.foreign(now_ms).requests) + 1;
        self.used.cores + n * u64::from(demand.cores) <= u64::from(capacity.cores)
            && self.used.memory_mib + n * u64::from(demand.memory_mib)
                <= u64::from(capacity.memory_mib)
            && self.used.accelerators + n * u64::from(demand.accelerators)
                <= u64::from(capacity.accelerators)
    }

    /// Whether the demand would fit if nothing else ran.
    pub(super) fn could_ever_fit(&self, demand: &Demand) -> bool {
        self.report.is_some_and(|seen| {
            let capacity = seen.capacity;
            slots(&capacity) > 0
                && demand.cores <= capacity.cores
                && demand.memory_mib <= capacity.memory_mib
                && demand.accelerators <= capacity.accelerators
        })
    }

    pub(super) fn started(&mut self, now_ms: u64, demand: &Demand) {
        self.in_flight += 1;
        self.peak[0] = self.peak[0].max(self.in_flight);
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

    /// The upstream had no free slot for us.
    pub(super) fn was_full(&mut self, now_ms: u64) {
        self.wish_until_ms = now_ms + WISH_MS;
        let foreign = self.foreign(now_ms).requests;
        self.limit.was_full(self.in_flight + foreign);
    }

    /// Requests we have there, and the one more we were refused lately.
    pub(super) fn claimed(&self, now_ms: u64) -> u32 {
        self.in_flight + u32::from(self.wish_until_ms > now_ms)
    }

    pub(super) fn has_use(&self, now_ms: u64) -> bool {
        self.in_flight > 0 || self.wish_until_ms > now_ms || self.lease_until_ms > now_ms
    }
}

/// A request holds a slot and a connection.
fn slots(capacity: &Capacity) -> u32 {
    capacity.slots.min(capacity.connections)
}
