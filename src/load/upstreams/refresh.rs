//! Updates sums, ready sets and timers after one upstream has changed.

use super::super::Health;
use super::super::upstream::GroupContribution;
use super::Upstreams;

/// Interval, in milliseconds, between checks of an upstream that is in no pool.
const EVICTION_CHECK_MS: u64 = 10_000;

impl Upstreams {
    /// Updates the sums, ready sets and timer of one upstream.
    pub(in super::super) fn refresh(&mut self, now_ms: u64, at: usize) {
        let up = &self.list[at];
        let allowed = up.allowed(now_ms);
        let is_live = up.is_live(now_ms);
        let group = up.pool.zip(up.zone).filter(|_| is_live);
        let contribution = GroupContribution {
            group,
            allowed,
            foreign: up.foreign(now_ms).requests,
            ejected: is_live && up.record.is_ejected(),
        };
        let old = std::mem::replace(&mut self.list[at].contribution, contribution);
        if old != contribution {
            self.update_group(now_ms, &old, false);
            self.update_group(now_ms, &contribution, true);
        }
        self.update_ready_sets(now_ms, at, &old, &contribution);
        self.schedule_wake(now_ms, at);
    }

    fn update_group(&mut self, now_ms: u64, contribution: &GroupContribution, is_in: bool) {
        let Some((pool, zone)) = contribution.group else {
            return;
        };
        let pool = &mut self.pools[pool];
        let group = &mut pool.groups[zone];
        if is_in {
            group.live += 1;
            group.allowed += contribution.allowed;
            group.foreign += contribution.foreign;
            group.down_since_ms = None;
            pool.ejected += usize::from(contribution.ejected);
        } else {
            group.live -= 1;
            group.allowed -= contribution.allowed;
            group.foreign -= contribution.foreign;
            pool.ejected -= usize::from(contribution.ejected);
            if group.live == 0 {
                group.down_since_ms = Some(now_ms);
            }
        }
    }

    fn update_ready_sets(
        &mut self,
        now_ms: u64,
        at: usize,
        old: &GroupContribution,
        new: &GroupContribution,
    ) {
        if let Some((pool, zone)) = old.group.filter(|_| old.group != new.group) {
            for &service in &self.pools[pool].services {
                self.fits[service].ready[zone].set_member(at, false);
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
            fit.ready[zone].set_member(at, is_ready);
        }
    }

    /// Schedules a wake-up for the time at which the upstream next changes without an
    /// event.
    fn schedule_wake(&mut self, now_ms: u64, at: usize) {
        let up = &self.list[at];
        let eject = match up.record.health() {
            Health::Ejected { until_ms, .. } => Some(until_ms),
            Health::Healthy | Health::Probation { .. } => None,
        };
        let times = [
            Some(up.lease_until_ms),
            Some(up.paused_until_ms),
            eject,
            up.foreign_until_ms(now_ms),
        ];
        let next = times.into_iter().flatten().filter(|&t| t > now_ms).min();
        match next {
            Some(next) => self.timers.set(at, next),
            // Not in the replicated state: check later whether it can be evicted.
            None if self.list[at].pool.is_none() => self.timers.set(at, now_ms + EVICTION_CHECK_MS),
            None => self.timers.clear(at),
        }
    }
}
