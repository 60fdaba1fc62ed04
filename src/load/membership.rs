//! Applies pools, services and instances of the replicated state.
//!
//! Load pattern: a row, a wave or a move changes the state while requests are
//! in flight. A view is applied as a whole, but only instances that changed are
//! indexed again: at 21,000 upstreams, indexing all of them for each row would
//! delay every request by tens of milliseconds.

use crate::model::{Demand, DesiredState, PoolName};

use super::View;
use super::ready::ReadySet;
use super::upstreams::{ServiceFit, Upstreams};

impl Upstreams {
    /// Applies pools, services (pool, index and demand of each one that has a pool) and
    /// instances of the replicated state.
    pub(super) fn set_view(
        &mut self,
        now_ms: u64,
        view: &View,
        carried: &[(&PoolName, usize, Demand)],
    ) {
        for instance in view.instances.values() {
            self.zone(&instance.zone);
        }
        for pool in view.pools.keys() {
            self.pool(now_ms, pool);
        }
        let reindex_all = self.set_services(carried);
        self.count_members(view);
        for (name, instance) in &view.instances {
            let at = self.intern(name);
            let duty = (&instance.pool, instance.epoch, &instance.duty);
            self.set_instance(now_ms, at, Some(duty), reindex_all);
        }
        if self.names.len() > view.instances.len() {
            let gone = self.names.iter();
            let gone = gone.filter(|(name, _)| !view.instances.contains_key(*name));
            for at in gone.map(|(_, &at)| at).collect::<Vec<_>>() {
                self.set_instance(now_ms, at, None, reindex_all);
            }
        }
    }

    fn count_members(&mut self, view: &View) {
        for group in self.pools.iter_mut().flat_map(|p| &mut p.groups) {
            group.members = 0;
        }
        for instance in view.instances.values() {
            let zone = self.zone(&instance.zone);
            if let Some(&pool) = self.pool_names.get(&instance.pool) {
                self.pools[pool].groups[zone].members += 1;
            }
        }
    }

    /// Returns whether anything changed. If so, all ready sets are empty afterwards.
    fn set_services(&mut self, carried: &[(&PoolName, usize, Demand)]) -> bool {
        let pool = |name: &PoolName| self.pool_names.get(name).copied();
        let fits = carried
            .iter()
            .map(|&(name, service, demand)| (service, pool(name), demand));
        let fits: Vec<_> = fits.collect();
        let is_same = |&(service, pool, demand): &(usize, Option<usize>, Demand)| {
            let fit = self.fits.get(service);
            fit.is_some_and(|fit| fit.pool == pool && fit.demand == demand)
        };
        let carried_now = self.fits.iter().filter(|fit| fit.pool.is_some()).count();
        if carried_now == fits.len() && fits.iter().all(is_same) {
            return false;
        }
        for pool in &mut self.pools {
            pool.services.clear();
        }
        for fit in &mut self.fits {
            fit.pool = None;
            fit.ready.iter_mut().for_each(|r| *r = ReadySet::default());
        }
        for (service, pool, demand) in fits {
            self.set_fit(service, pool, demand);
            if let Some(pool) = pool {
                self.pools[pool].services.push(service);
            }
        }
        true
    }

    fn set_fit(&mut self, service: usize, pool: Option<usize>, demand: Demand) {
        while self.fits.len() <= service {
            self.fits.push(ServiceFit {
                pool: None,
                demand,
                ready: vec![ReadySet::default(); self.zones.len()],
                capable: None,
            });
        }
        self.fits[service].pool = pool;
        self.fits[service].demand = demand;
        self.fits[service].capable = None;
    }

    /// Applies one instance. `reindex_all` forces a refresh although it did not change.
    fn set_instance(
        &mut self,
        now_ms: u64,
        at: usize,
        now: Option<(&PoolName, u64, &DesiredState)>,
        reindex_all: bool,
    ) {
        let pool = now.and_then(|(pool, ..)| self.pool_names.get(pool).copied());
        let epoch = now.map_or(0, |(_, epoch, _)| epoch);
        let serves = now.is_some_and(|(.., duty)| *duty == DesiredState::Serving);
        let up = &self.list[at];
        if !reindex_all && (up.pool, up.epoch, up.serves) == (pool, epoch, serves) {
            return;
        }
        let old = up.pool;
        if old != pool {
            self.invalidate_capable(pool);
            self.invalidate_capable(old);
            if let Some(old) = old {
                self.pools[old].members.remove(&at);
            }
            if let Some(pool) = pool {
                self.pools[pool].members.insert(at);
            }
        }
        let up = &mut self.list[at];
        // Cold in its new pool, as after a restart.
        if old.is_some() && old != pool {
            up.warm_up = Some(1);
        }
        up.pool = pool;
        up.epoch = epoch;
        up.serves = serves;
        self.refresh(now_ms, at);
    }
}
