//! Which upstreams can run the requests of a service.
//!
//! Load pattern: large requests among small ones. Whether a service fits any
//! member at all is cached until a member changes. A service whose requests fit
//! nowhere now gets an upstream reserved.

use super::super::ready::ReadySet;
use super::Upstreams;
use crate::model::Demand;

/// The demand of a service and the upstreams that can take one more of its requests.
#[derive(Debug)]
pub(in super::super) struct ServiceFit {
    pub pool: Option<usize>,
    pub demand: Demand,
    pub ready: Vec<ReadySet>,
    /// Whether any member could ever run it; `None` if that must be recomputed.
    pub capable: Option<bool>,
}

impl Upstreams {
    pub(in super::super) fn invalidate_capable(&mut self, pool: Option<usize>) {
        let Some(pool) = pool else {
            return;
        };
        for &service in &self.pools[pool].services {
            self.fits[service].capable = None;
        }
    }

    /// Returns whether some member of its pool could run the service if it were idle.
    /// True while members have not announced themselves yet, since they might.
    pub(in super::super) fn is_large_enough(&mut self, service: usize) -> bool {
        if let Some(known) = self.fits[service].capable {
            return known;
        }
        let Some(pool) = self.fits[service].pool else {
            return false;
        };
        let demand = self.fits[service].demand;
        let members = &self.pools[pool].members;
        let can = |&at: &usize| !self.list[at].is_known() || self.list[at].is_large_enough(&demand);
        let capable = members.is_empty() || members.iter().any(can);
        self.fits[service].capable = Some(capable);
        capable
    }

    /// Reserves an upstream for a service whose requests fit nowhere now, the one with
    /// the fewest requests in flight.
    pub(in super::super) fn reserve(&mut self, now_ms: u64, service: usize) -> Option<usize> {
        let pool = self.fits[service].pool?;
        let demand = self.fits[service].demand;
        let members = self.pools[pool].members.iter().copied();
        let able = members.filter(|&at| {
            let up = &self.list[at];
            up.contribution.allowed > 0 && up.reserved_for.is_none() && up.is_large_enough(&demand)
        });
        let at = able.min_by_key(|&at| self.list[at].in_flight())?;
        self.list[at].reserved_for = Some(service);
        self.refresh(now_ms, at);
        Some(at)
    }

    /// Cancels a reservation. Returns whether it was still held.
    pub(in super::super) fn unreserve(&mut self, now_ms: u64, service: usize, at: usize) -> bool {
        if self.list[at].reserved_for != Some(service) {
            return false;
        }
        self.list[at].reserved_for = None;
        self.refresh(now_ms, at);
        true
    }

    /// Returns whether the service needs more of any resource than another one of its
    /// pool.
    pub(in super::super) fn is_large(&self, service: usize) -> bool {
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
}
