//! Index of all upstreams; its cost for one request does not grow with their
//! number.
//!
//! Each change of an upstream (report, dispatch, end of an attempt, ejection,
//! expiry of a lease) refreshes that upstream alone: its membership in the
//! ready sets of the services of its pool, and its contribution to the sums of
//! its group. Only a change of the replicated state iterates over all
//! upstreams.

mod attempts;
mod fit;
mod refresh;

use std::collections::BTreeMap;

use crate::model::{EntryName, InstanceName, PoolName, UpstreamReport, ZoneName};

use super::group::{Group, PoolLoad};
use super::ready::ReadySet;
use super::timers::Timers;
use super::upstream::Upstream;

pub(super) use attempts::{AttemptResult, Target};
pub(super) use fit::ServiceFit;

/// Time after the start, in milliseconds, in which upstreams that announce themselves
/// count as warm: this entry instance is new, and they are not.
const STARTUP_GRACE_MS: u64 = 5_000;

/// Every known upstream, pool and availability zone.
#[derive(Debug)]
pub(super) struct Upstreams {
    pub zones: Vec<ZoneName>,
    pub pools: Vec<PoolLoad>,
    pub fits: Vec<ServiceFit>,
    pub list: Vec<Upstream>,
    pub names: BTreeMap<InstanceName, usize>,
    pub pool_names: BTreeMap<PoolName, usize>,
    peers: BTreeMap<EntryName, Vec<usize>>,
    timers: Timers<usize>,
    free_indexes: Vec<usize>,
    generations: u64,
    start_ms: u64,
}

impl Upstreams {
    pub(super) fn new(home: ZoneName, now_ms: u64) -> Self {
        Self {
            zones: vec![home],
            pools: Vec::new(),
            fits: Vec::new(),
            list: Vec::new(),
            names: BTreeMap::new(),
            pool_names: BTreeMap::new(),
            peers: BTreeMap::new(),
            timers: Timers::new(),
            free_indexes: Vec::new(),
            generations: 0,
            start_ms: now_ms,
        }
    }

    /// Applies a report. Returns the pool that then needs a scheduling pass.
    pub(super) fn report(
        &mut self,
        now_ms: u64,
        report: &UpstreamReport,
        lease_ms: u64,
    ) -> Option<usize> {
        let zone = self.zone(&report.zone);
        let at = self.intern(&report.instance);
        let up = &mut self.list[at];
        let was_live = up.lease_until_ms > now_ms;
        let was_known = up.is_known();
        let change = up.report(now_ms, report, lease_ms);
        if change.is_stale {
            return None;
        }
        up.zone = Some(zone);
        if change.restarted {
            self.generations += 1;
            up.generation = self.generations;
        }
        // A new or returned upstream is cold: it gets one request at a time at first
        // and one more with each answer. Otherwise, being the least loaded, it would
        // get all requests before its caches and connections are ready.
        let is_new = !was_known && now_ms >= self.start_ms + STARTUP_GRACE_MS;
        if is_new || change.restarted || (was_known && !was_live) {
            up.warm_up = Some(1);
        }
        if change.capacity {
            self.invalidate_capable(self.list[at].pool);
        }
        self.refresh(now_ms, at);
        self.list[at].pool
    }

    pub(super) fn peer_load(&mut self, now_ms: u64, peer: EntryName, load: &[(InstanceName, u32)]) {
        let mut now = Vec::with_capacity(load.len());
        for (name, requests) in load {
            if let Some(&at) = self.names.get(name) {
                self.list[at].set_peer(now_ms, &peer, *requests);
                now.push(at);
            }
        }
        now.sort_unstable();
        let old = self.peers.insert(peer.clone(), now.clone());
        for at in old.into_iter().flatten() {
            if now.binary_search(&at).is_err() {
                self.list[at].set_peer(now_ms, &peer, 0);
                self.refresh(now_ms, at);
            }
        }
        for at in now {
            self.refresh(now_ms, at);
        }
    }

    pub(super) fn peer_gone(&mut self, now_ms: u64, peer: &EntryName) {
        for at in self.peers.remove(peer).into_iter().flatten() {
            self.list[at].set_peer(now_ms, peer, 0);
            self.refresh(now_ms, at);
        }
    }

    /// Returns the number of other entry instances that are heard from.
    pub(super) fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Refreshes upstreams whose timers are due. Returns their pools.
    pub(super) fn tick(&mut self, now_ms: u64) -> Vec<usize> {
        let mut pools = Vec::new();
        while let Some(at) = self.timers.pop_due(now_ms) {
            self.list[at].record.tick(now_ms);
            self.refresh(now_ms, at);
            pools.extend(self.list[at].pool);
            self.evict_if_unused(now_ms, at);
        }
        pools
    }

    pub(super) fn next_ms(&self) -> Option<u64> {
        self.timers.next_ms()
    }

    /// Removes an upstream that the replicated state does not contain and that is no
    /// longer in use. Otherwise names of replaced instances would accumulate.
    fn evict_if_unused(&mut self, now_ms: u64, at: usize) {
        let up = &self.list[at];
        if up.pool.is_some() || up.is_in_use(now_ms) {
            return;
        }
        if self.names.remove(&up.name).is_some() {
            self.timers.clear(at);
            for peers in self.peers.values_mut() {
                peers.retain(|&p| p != at);
            }
            self.free_indexes.push(at);
        }
    }

    /// Returns whether the replicated state has an instance of the service's pool in
    /// the zone.
    pub(super) fn has_members(&self, service: usize, zone: usize) -> bool {
        self.group(service, zone).is_some_and(|g| g.members > 0)
    }

    pub(super) fn sick_pools(&self, now_ms: u64) -> Vec<PoolName> {
        let sick = |at: usize| self.pools[at].sick_until_ms > now_ms;
        let names = self.pool_names.iter().filter(|(_, at)| sick(**at));
        names.map(|(name, _)| name.clone()).collect()
    }

    pub(super) fn group(&self, service: usize, zone: usize) -> Option<&Group> {
        let pool = self.fits.get(service)?.pool?;
        self.pools[pool].groups.get(zone)
    }

    /// Returns the known upstreams, ordered by name.
    pub(super) fn by_name(&self) -> impl Iterator<Item = &Upstream> {
        self.names.values().map(|&at| &self.list[at])
    }

    pub(super) fn zone(&mut self, zone: &ZoneName) -> usize {
        if let Some(at) = self.zones.iter().position(|z| z == zone) {
            return at;
        }
        self.zones.push(zone.clone());
        let n = self.zones.len();
        for pool in &mut self.pools {
            pool.groups.resize_with(n, group_down_since(self.start_ms));
        }
        for fit in &mut self.fits {
            fit.ready.resize_with(n, ReadySet::default);
        }
        n - 1
    }

    pub(super) fn pool(&mut self, now_ms: u64, pool: &PoolName) -> usize {
        if let Some(&at) = self.pool_names.get(pool) {
            return at;
        }
        let mut load = PoolLoad::new();
        load.groups
            .resize_with(self.zones.len(), group_down_since(now_ms));
        self.pools.push(load);
        self.pool_names.insert(pool.clone(), self.pools.len() - 1);
        self.pools.len() - 1
    }

    pub(super) fn intern(&mut self, name: &InstanceName) -> usize {
        if let Some(&at) = self.names.get(name) {
            return at;
        }
        self.generations += 1;
        let up = Upstream::new(name.clone(), self.generations);
        let at = match self.free_indexes.pop() {
            Some(at) => {
                self.list[at] = up;
                at
            }
            None => {
                self.list.push(up);
                self.list.len() - 1
            }
        };
        self.names.insert(name.clone(), at);
        at
    }
}

fn group_down_since(now_ms: u64) -> impl Fn() -> Group {
    move || Group {
        down_since_ms: Some(now_ms),
        ..Group::default()
    }
}
