//! All upstreams, indexed so that one request costs the same at any number.
//!
//! Each change of an upstream (report, dispatch, end, ejection, a lease that runs
//! out) refreshes that one upstream: whether it is in the ready sets of its
//! pool's services, and what it counts for in the sums of its group. Nothing
//! walks all upstreams but a change of the replicated state.

use std::collections::BTreeMap;

use crate::model::{Demand, EntryName, InstanceName, PoolName, UpstreamReport, ZoneName};

use super::group::{Group, PoolLoad};
use super::health::may_eject;
use super::ready::ReadySet;
use super::timers::Timers;
use super::upstream::{Counted, Upstream};

/// Time after the start in which upstreams that announce themselves are taken
/// to have been there before: this entry instance is new, and they are not.
const START_MS: u64 = 5_000;

/// Pause after an upstream refused in good order: about the time a request runs
/// there, so that the next try has a chance.
const REFUSED_PAUSE_MS: u64 = 25;

/// Pause after an upstream leaves or has another epoch: the report or view that
/// says so is on its way.
const STALE_PAUSE_MS: u64 = 250;

/// How long a pool counts as sick after it wanted one more ejection.
const SICK_MS: u64 = 10_000;

/// How often an upstream that is in no pool is looked at.
const FORGET_MS: u64 = 10_000;

/// How an attempt ended, as far as its upstream is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum End {
    /// A whole answer came, after this many times the usual run time.
    Answered { ratio: f64 },
    /// It failed, was lost, or could not be reached.
    Failed,
    /// It had no slot.
    Busy,
    /// It leaves, or is in another pool.
    Moved,
}

/// Where an attempt went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Target {
    /// What it takes there, as declared when it started.
    pub demand: Demand,
    pub upstream: usize,
    /// Of the upstream's record, so that the end of an attempt cannot be counted
    /// for another incarnation, nor for another upstream in the same place.
    pub generation: u64,
    pub pool: usize,
    pub zone: usize,
}

/// Fit of one service: its demand and the upstreams that can take one more.
#[derive(Debug)]
pub(super) struct Fit {
    pub pool: Option<usize>,
    pub demand: Demand,
    pub ready: Vec<ReadySet>,
    /// Whether any member could ever carry it; none if it must be counted anew.
    pub capable: Option<bool>,
}

/// Every upstream, pool and availability zone that is known.
#[derive(Debug)]
pub(super) struct Upstreams {
    pub zones: Vec<ZoneName>,
    pub pools: Vec<PoolLoad>,
    pub fits: Vec<Fit>,
    pub list: Vec<Upstream>,
    pub names: BTreeMap<InstanceName, usize>,
    pub pool_names: BTreeMap<PoolName, usize>,
    peers: BTreeMap<EntryName, Vec<usize>>,
    timers: Timers<usize>,
    free: Vec<usize>,
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
            free: Vec::new(),
            generations: 0,
            start_ms: now_ms,
        }
    }

    /// Takes a report; returns the pool in which something may start now.
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
        // Cold: a new or returned upstream gets one request at a time at first
        // and one more with each answer, or the least loaded of all would get
        // everything at once before its caches and connections are there.
        let is_new = !was_known && now_ms >= self.start_ms + START_MS;
        if is_new || change.restarted || (was_known && !was_live) {
            up.warm_up = Some(1);
        }
        if change.capacity {
            self.forget_capable(self.list[at].pool);
        }
        self.refresh(now_ms, at);
        self.list[at].pool
    }

    pub(super) fn forget_capable(&mut self, pool: Option<usize>) {
        let Some(pool) = pool else {
            return;
        };
        for &service in &self.pools[pool].services {
            self.fits[service].capable = None;
        }
    }

    /// Whether some member of its pool could carry the service if it were idle.
    /// True while members are yet to announce themselves: they might.
    pub(super) fn could_ever_fit(&mut self, service: usize) -> bool {
        if let Some(known) = self.fits[service].capable {
            return known;
        }
        let Some(pool) = self.fits[service].pool else {
            return false;
        };
        let demand = self.fits[service].demand;
        let members = &self.pools[pool].members;
        let can = |&at: &usize| !self.list[at].is_known() || self.list[at].could_ever_fit(&demand);
        let capable = members.is_empty() || members.iter().any(can);
        self.fits[service].capable = Some(capable);
        capable
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

    /// Other entry instances that are heard from.
    pub(super) fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Refreshes upstreams whose time has come; returns their pools.
    pub(super) fn tick(&mut self, now_ms: u64) -> Vec<usize> {
        let mut pools = Vec::new();
        while let Some(at) = self.timers.pop_due(now_ms) {
            self.list[at].record.tick(now_ms);
            self.refresh(now_ms, at);
            pools.extend(self.list[at].pool);
            self.forget_gone(now_ms, at);
        }
        pools
    }

    pub(super) fn next_ms(&self) -> Option<u64> {
        self.timers.next_ms()
    }

    /// Drops an upstream that the replicated state does not know and that has
    /// not refreshed, or names of replaced instances would pile up.
    fn forget_gone(&mut self, now_ms: u64, at: usize) {
        let up = &self.list[at];
        if up.pool.is_some() || up.has_use(now_ms) {
            return;
        }
        if self.names.remove(&up.name).is_some() {
            self.timers.clear(at);
            for peers in self.peers.values_mut() {
                peers.retain(|&p| p != at);
            }
            self.free.push(at);
        }
    }

    pub(super) fn started(&mut self, now_ms: u64, at: usize, service: usize, class: usize) {
        let demand = self.fits[service].demand;
        let up = &mut self.list[at];
        up.started(now_ms, &demand);
        if up.reserved_for == Some(service) {
            up.reserved_for = None;
        }
        if let Some((pool, zone)) = up.counted.group {
            self.pools[pool].groups[zone].in_flight[class] += 1;
        }
        self.refresh(now_ms, at);
    }

    /// Frees what an attempt held and learns from how it ended.
    pub(super) fn ended(&mut self, now_ms: u64, to: Target, class: usize, end: End) {
        let held = &mut self.pools[to.pool].groups[to.zone].in_flight[class];
        *held = held.saturating_sub(1);
        let up = &mut self.list[to.upstream];
        if up.generation != to.generation {
            return;
        }
        up.ended(&to.demand);
        self.learn(now_ms, to, end);
        self.refresh(now_ms, to.upstream);
    }

    fn learn(&mut self, now_ms: u64, to: Target, end: End) {
        let up = &mut self.list[to.upstream];
        match end {
            End::Answered { ratio } => {
                let beside = up.in_flight() + up.foreign(now_ms).requests;
                up.limit.ran(ratio, beside);
                self.pools[to.pool].answered(ratio);
                if up.record.succeeded() {
                    up.warm_up = Some(1);
                }
                warm(up);
            }
            End::Failed => self.failed(now_ms, to),
            End::Busy => {
                up.was_full(now_ms);
                up.held_until_ms = now_ms + REFUSED_PAUSE_MS;
            }
            End::Moved => up.held_until_ms = now_ms + STALE_PAUSE_MS,
        }
    }

    fn failed(&mut self, now_ms: u64, to: Target) {
        let pool = &mut self.pools[to.pool];
        let reason = self.list[to.upstream].record.failed(&pool.rate);
        pool.rate.saw(true);
        let Some(reason) = reason else {
            return;
        };
        if may_eject(pool.live(), pool.ejected) {
            self.list[to.upstream].record.eject(now_ms, reason);
        } else {
            pool.sick_until_ms = now_ms + SICK_MS;
        }
    }

    /// Brings sums and ready sets in line with one upstream.
    pub(super) fn refresh(&mut self, now_ms: u64, at: usize) {
        let up = &self.list[at];
        let allowed = up.allowed(now_ms);
        let is_live = up.is_live(now_ms);
        let group = up.pool.zip(up.zone).filter(|_| is_live);
        let counted = Counted {
            group,
            allowed,
            foreign: up.foreign(now_ms).requests,
            ejected: is_live && up.record.is_ejected(),
        };
        let old = std::mem::replace(&mut self.list[at].counted, counted);
        if old != counted {
            self.count(now_ms, &old, false);
            self.count(now_ms, &counted, true);
        }
        self.place(now_ms, at, &old, &counted);
        self.arm(now_ms, at);
    }

    fn count(&mut self, now_ms: u64, counted: &Counted, is_in: bool) {
        let Some((pool, zone)) = counted.group else {
            return;
        };
        let pool = &mut self.pools[pool];
        let group = &mut pool.groups[zone];
        if is_in {
            group.live += 1;
            group.allowed += counted.allowed;
            group.foreign += counted.foreign;
            group.down_since_ms = None;
            pool.ejected += usize::from(counted.ejected);
        } else {
            group.live -= 1;
            group.allowed -= counted.allowed;
            group.foreign -= counted.foreign;
            pool.ejected -= usize::from(counted.ejected);
            if group.live == 0 {
                group.down_since_ms = Some(now_ms);
            }
        }
    }

    fn place(&mut self, now_ms: u64, at: usize, old: &Counted, new: &Counted) {
        if let Some((pool, zone)) = old.group.filter(|_| old.group != new.group) {
            for &service in &self.pools[pool].services {
                self.fits[service].ready[zone].put(at, false);
            }
        }
        let Some((pool, zone)) = new.group else {
            return;
        };
        let up = &self.list[at];
        let has_slot = up.in_flight() < new.allowed;
        for &service in &self.pools[pool].services {
            let fit = &mut self.fits[service];
            let is_free = up.reserved_for.is_none_or(|s| s == service);
            let is_ready = has_slot && is_free && up.fits(&fit.demand, now_ms);
            fit.ready[zone].put(at, is_ready);
        }
    }

    /// Wakes up for the upstream when time alone changes what it may get.
    fn arm(&mut self, now_ms: u64, at: usize) {
        let up = &self.list[at];
        let eject = match up.record.health() {
            super::Health::Ejected { until_ms, .. } => Some(until_ms),
            super::Health::Healthy | super::Health::Probation { .. } => None,
        };
        let times = [
            Some(up.lease_until_ms),
            Some(up.held_until_ms),
            eject,
            up.foreign_until_ms(now_ms),
        ];
        let next = times.into_iter().flatten().filter(|&t| t > now_ms).min();
        match next {
            Some(next) => self.timers.set(at, next),
            // Not in the replicated state: look again whether it may be forgotten.
            None if self.list[at].pool.is_none() => self.timers.set(at, now_ms + FORGET_MS),
            None => self.timers.clear(at),
        }
    }

    /// Keeps an upstream free for a service whose requests fit nowhere now, the
    /// one with the least in flight.
    pub(super) fn reserve(&mut self, now_ms: u64, service: usize) -> Option<usize> {
        let pool = self.fits[service].pool?;
        let demand = self.fits[service].demand;
        let members = self.pools[pool].members.iter().copied();
        let able = members.filter(|&at| {
            let up = &self.list[at];
            up.counted.allowed > 0 && up.reserved_for.is_none() && up.could_ever_fit(&demand)
        });
        let at = able.min_by_key(|&at| self.list[at].in_flight())?;
        self.list[at].reserved_for = Some(service);
        self.refresh(now_ms, at);
        Some(at)
    }

    /// Gives back what was kept free; returns whether it still was.
    pub(super) fn unreserve(&mut self, now_ms: u64, service: usize, at: usize) -> bool {
        if self.list[at].reserved_for != Some(service) {
            return false;
        }
        self.list[at].reserved_for = None;
        self.refresh(now_ms, at);
        true
    }

    /// Whether the service needs more of anything than another one of its pool.
    pub(super) fn is_large(&self, service: usize) -> bool {
        let fit = &self.fits[service];
        let Some(pool) = fit.pool else {
            return false;
        };
        self.pools[pool].services.iter().any(|&other| {
            let other = &self.fits[other].demand;
            other.cores < fit.demand.cores
                || other.memory_mib < fit.demand.memory_mib
                || other.accelerators < fit.demand.accelerators
        })
    }

    /// Whether the replicated state has an instance of the service's pool in the
    /// zone.
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

    /// Known upstreams in the order of their names.
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
            pool.groups.resize_with(n, down_from(self.start_ms));
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
        load.groups.resize_with(self.zones.len(), down_from(now_ms));
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
        let at = match self.free.pop() {
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

fn down_from(now_ms: u64) -> impl Fn() -> Group {
    move || Group {
        down_since_ms: Some(now_ms),
        ..Group::default()
    }
}

/// One more request at once with each answer, until all slots are in use.
fn warm(up: &mut Upstream) {
    let Some(n) = up.warm_up else {
        return;
    };
    let is_warm = n + 1 >= up.limit.get();
    up.warm_up = if is_warm { None } else { Some(n + 1) };
}
