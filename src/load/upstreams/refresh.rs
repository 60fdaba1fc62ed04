//! Brings sums, ready sets and timers in line with one upstream that changed.

use super::super::Health;
use super::super::upstream::Counted;
use super::Upstreams;

/// How often an upstream that is in no pool is looked at.
const FORGET_MS: u64 = 10_000;

impl Upstreams {
    /// Brings sums and ready sets in line with one upstream.
    pub(in super::super) fn refresh(&mut self, now_ms: u64, at: usize) {
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
            Health::Ejected { until_ms, .. } => Some(until_ms),
            Health::Healthy | Health::Probation { .. } => None,
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
}
