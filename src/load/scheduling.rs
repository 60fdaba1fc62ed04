//! The scheduling pass: chooses the class, service, request, zone and upstream
//! of each dispatch.
//!
//! Load pattern: long and short work, urgent and patient work in one pool.
//! `headroom` bounds the slots of each class. The services of a class take
//! turns by the run time that they have used, so that a service with long
//! requests gets no more than one with short ones. Within a service `queue`
//! decides.
//!
//! A pool gets a pass only when something in it has changed, and the pass ends
//! when nothing more can start. The cost of an event is thus that of the
//! requests that it starts.
//!
//! A service with large requests can starve beside one with small ones, which
//! take each freed resource at once. When its next request has not fitted
//! anywhere for `RESERVE_AFTER_MS`, one upstream is reserved for it and takes
//! nothing else until it fits. The request then starts after at most the
//! longest run time there. Reserving one upstream at a time bounds the cost to
//! the other services.
//!
//! When the zone chosen for a request is full, another zone takes it if it
//! would otherwise wait longer than `MIN_SPILL_WAIT_MS`: about two trips
//! between zones 1 ms apart, and the cost of a cold connection there.

use crate::model::{Class, RefusalReason};

use super::dispatcher::{Dispatcher, HOME_ZONE};
use super::headroom::{patient_ceiling, patient_floor};
use super::route::{UpstreamQuery, choose_upstream};
use super::tracked::Phase;
use super::trail::{Decision, Placement};
use super::upstreams::Target;
use super::{Action, RequestId};

/// Expected wait, in milliseconds, from which sending to another zone pays off.
const MIN_SPILL_WAIT_MS: u64 = 5;

/// Time, in milliseconds, for which a large request may fit nowhere before an upstream
/// is reserved for it.
const RESERVE_AFTER_MS: u64 = 200;

/// Urgent load from which a pool counts as having urgent work although none of its
/// services is declared urgent. A single request stays above it for a minute.
const MIN_URGENT_LEVEL: f64 = 1e-5;

const URGENT: usize = Class::Urgent as usize;
const PATIENT: usize = Class::Patient as usize;

/// A request and the upstream chosen for it.
#[derive(Clone, Copy, Debug)]
struct PlannedDispatch {
    id: RequestId,
    service: usize,
    upstream: usize,
    placement: Placement,
}

impl Dispatcher {
    /// Starts every request that can start in the pools that have changed.
    pub(super) fn run_scheduling_pass(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        while let Some(pool) = self.pools_to_schedule.pop_first() {
            while let Some(planned) = self.next_dispatch(now_ms, pool, out) {
                self.dispatch(now_ms, pool, &planned, out);
            }
            self.handle_waiting(now_ms, pool);
        }
    }

    fn next_dispatch(
        &mut self,
        now_ms: u64,
        pool: usize,
        out: &mut Vec<Action>,
    ) -> Option<PlannedDispatch> {
        for class in self.class_order(pool) {
            for service in self.service_order(pool, class) {
                let planned = self.startable_head(now_ms, service, class, out);
                if planned.is_some() {
                    return planned;
                }
            }
        }
        None
    }

    /// Returns the classes in scheduling order: urgent first, unless patient work has
    /// fewer than its guaranteed slots and did not have the last turn.
    fn class_order(&self, pool: usize) -> [usize; 2] {
        let groups = &self.upstreams.pools[pool].groups;
        let slots = groups.iter().map(|g| g.allowed).sum();
        let patient: u32 = groups.iter().map(|g| g.in_flight[PATIENT]).sum();
        if patient < patient_floor(slots) && !self.patient_last.contains(&pool) {
            [PATIENT, URGENT]
        } else {
            [URGENT, PATIENT]
        }
    }

    /// Returns the services with queued requests, ordered by the run time they have
    /// used.
    fn service_order(&self, pool: usize, class: usize) -> Vec<usize> {
        let services = self.upstreams.pools[pool].services.iter().copied();
        let mut waiting: Vec<usize> = services
            .filter(|&s| self.services[s].queues[class].len() > 0)
            .collect();
        let tag = |s: usize| self.services[s].virtual_starts[class];
        waiting.sort_by(|&a, &b| tag(a).total_cmp(&tag(b)));
        waiting
    }

    /// Returns the dispatch of the next request of a queue if it can start now. Refuses
    /// requests ahead of it that can no longer meet their deadlines.
    fn startable_head(
        &mut self,
        now_ms: u64,
        service: usize,
        class: usize,
        out: &mut Vec<Action>,
    ) -> Option<PlannedDispatch> {
        loop {
            let queue = &self.services[service].queues[class];
            let id = queue.peek(|team| self.teams.may_run(team))?;
            // Queues and requests change together. If they ever disagreed, a stalled
            // queue would be better than an endless loop.
            self.requests.get(&id)?;
            if !self.cannot_meet_deadline(now_ms, id) {
                return self.place(now_ms, service, id);
            }
            self.give_up(now_ms, id, RefusalReason::Deadline, out);
        }
    }

    fn cannot_meet_deadline(&self, now_ms: u64, id: RequestId) -> bool {
        let Some(tracked) = self.requests.get(&id) else {
            return true;
        };
        let load = &self.services[tracked.service];
        // A sole request runs even if its run time seems too long: see `admission`.
        let is_only = load.in_flight[tracked.class()] == 0;
        let run_ms = if is_only { 0.0 } else { load.run.trusted_ms() };
        let deadline_ms = tracked.request.deadline_ms;
        deadline_ms <= now_ms || now_ms as f64 + run_ms > deadline_ms as f64
    }

    fn place(&mut self, now_ms: u64, service: usize, id: RequestId) -> Option<PlannedDispatch> {
        let planned_zone = self.requests.get(&id)?.zone;
        if let Some(planned) = self.place_in(now_ms, service, id, planned_zone) {
            return Some(planned);
        }
        if !self.should_spill(now_ms, service, id, planned_zone) {
            return None;
        }
        let mut zones: Vec<usize> = self
            .zones_of(service)
            .filter(|&z| z != planned_zone)
            .collect();
        let load = |zone: usize| {
            let group = self.upstreams.group(service, zone);
            group.map_or(1.0, |g| {
                f64::from(g.in_flight.iter().sum::<u32>()) / f64::from(g.allowed.max(1))
            })
        };
        zones.sort_by(|&a, &b| load(a).total_cmp(&load(b)));
        zones
            .into_iter()
            .find_map(|zone| self.place_in(now_ms, service, id, zone))
    }

    fn place_in(
        &mut self,
        now_ms: u64,
        service: usize,
        id: RequestId,
        zone: usize,
    ) -> Option<PlannedDispatch> {
        let tracked = self.requests.get(&id)?;
        if !self.is_open(now_ms, service, zone) {
            return None;
        }
        if tracked.class() == PATIENT && !self.has_patient_room(now_ms, service, zone) {
            return None;
        }
        let query = UpstreamQuery {
            service,
            idempotent: tracked.request.idempotent,
            tried: &tracked.tried,
        };
        let upstream = choose_upstream(&self.upstreams, now_ms, &query, zone, &mut self.rng)?;
        let placement = if self.upstreams.list[upstream].record.is_on_probation() {
            Placement::Probe
        } else if zone == tracked.zone {
            Placement::Planned
        } else {
            Placement::Spilled
        };
        Some(PlannedDispatch {
            id,
            service,
            upstream,
            placement,
        })
    }

    /// Returns whether the rows and the replicated state, as far as known, allow one
    /// more request of the service in the zone.
    pub(super) fn is_open(&self, _now_ms: u64, service: usize, zone: usize) -> bool {
        let load = &self.services[service];
        let Some(group) = self.upstreams.group(service, zone) else {
            return false;
        };
        (self.is_fresh || zone == HOME_ZONE)
            && !load.is_closed(zone)
            && load.allows_one_more(zone, group.foreign, self.upstreams.peers())
    }

    /// Returns whether patient work may take one more slot in the zone.
    fn has_patient_room(&self, now_ms: u64, service: usize, zone: usize) -> bool {
        let Some(group) = self.upstreams.group(service, zone) else {
            return false;
        };
        let level = self.urgent_level(now_ms, service).map(|level| {
            // Urgent requests that arrive here run here: see `zone_weights`.
            if zone == HOME_ZONE { level } else { 0.0 }
        });
        let slots = group.allowed.max(group.in_flight.iter().sum());
        group.in_flight[PATIENT] < patient_ceiling(slots, level)
    }

    /// Returns the urgent load of the service's pool, or `None` if the pool has no
    /// urgent work.
    fn urgent_level(&self, now_ms: u64, service: usize) -> Option<f64> {
        let pool = self.services[service].pool?;
        let mut sum = 0.0;
        let mut has_urgent = false;
        for &other in &self.upstreams.pools[pool].services {
            let load = &self.services[other];
            let level = load.urgent.level(now_ms);
            has_urgent |= load.class == Class::Urgent || level > MIN_URGENT_LEVEL;
            sum += level;
        }
        has_urgent.then_some(sum)
    }

    /// Returns whether the planned zone would delay the request for longer than sending
    /// it to another zone costs.
    fn should_spill(
        &mut self,
        now_ms: u64,
        service: usize,
        id: RequestId,
        planned_zone: usize,
    ) -> bool {
        let Some(tracked) = self.requests.get(&id) else {
            return false;
        };
        let load = &self.services[service];
        let is_down = self
            .upstreams
            .group(service, planned_zone)
            .is_none_or(|group| group.live == 0);
        let spill_at_ms = tracked.arrived_ms + MIN_SPILL_WAIT_MS;
        let running = load.in_flight_in(planned_zone);
        let next_ms = load.run.mean_ms() / f64::from(running.max(1));
        if is_down || running == 0 || now_ms >= spill_at_ms || next_ms >= MIN_SPILL_WAIT_MS as f64 {
            return true;
        }
        self.rechecks.set_earliest(service, spill_at_ms);
        false
    }

    fn dispatch(
        &mut self,
        now_ms: u64,
        pool: usize,
        planned: &PlannedDispatch,
        out: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get_mut(&planned.id) else {
            return;
        };
        let class = tracked.class();
        let up = &self.upstreams.list[planned.upstream];
        let Some((_, zone)) = up.contribution.group else {
            return;
        };
        let to = Target {
            upstream: planned.upstream,
            generation: up.generation,
            pool,
            zone,
            demand: self.services[planned.service].demand,
        };
        let lightly_loaded = Self::is_lightly_loaded(
            up.in_flight() + up.contribution.foreign + 1,
            up.limit.slots(),
        );
        tracked.attempts += 1;
        tracked.phase = Phase::Running { to, lightly_loaded };
        let waited_ms = now_ms.saturating_sub(tracked.arrived_ms);
        out.push(Action::Dispatch {
            request: planned.id,
            attempt: tracked.attempt(),
            instance: up.name.clone(),
            incarnation: up.incarnation(),
            pool_epoch: up.epoch,
        });
        let decision = Decision::Dispatched {
            attempt: tracked.attempt(),
            instance: up.name.clone(),
            waited_ms,
            why: planned.placement,
        };
        self.trail.add(now_ms, planned.id, decision);
        self.queue_timeouts.clear(planned.id);
        let tracked = &self.requests[&planned.id];
        self.teams.started(&tracked.request.team);
        let load = &mut self.services[planned.service];
        load.queues[class].serve(&tracked.queue_key);
        load.started(zone, class);
        load.blocked_since_ms = None;
        if tracked.attempts == 1 {
            load.record_wait(class, tracked.estimated_ms, waited_ms);
        }
        let virtual_time = self.virtual_times.entry((pool, class)).or_default();
        *virtual_time = virtual_time.max(load.virtual_starts[class]);
        load.virtual_starts[class] += load.run.mean_ms().max(0.001);
        if class == PATIENT {
            self.patient_last.insert(pool);
        } else {
            self.patient_last.remove(&pool);
        }
        self.upstreams
            .started(now_ms, planned.upstream, planned.service, class);
        let slots = self.upstreams.pools[pool].groups.iter().map(|g| g.allowed);
        self.retries.set_slots(now_ms, pool, slots.sum());
    }

    /// Handles services whose requests still wait after a pass: schedules rechecks and
    /// reserves upstreams for large requests.
    fn handle_waiting(&mut self, now_ms: u64, pool: usize) {
        for service in self.upstreams.pools[pool].services.clone() {
            if self.services[service].waiting() == 0 {
                self.services[service].blocked_since_ms = None;
                self.release_reservation(now_ms, service);
                continue;
            }
            if let Some(since) = self.down_since_ms(service) {
                let recheck_ms = since.max(now_ms) + 1_000;
                self.rechecks.set_earliest(service, recheck_ms);
            } else if self.upstreams.is_large(service) {
                self.reserve_for_large_request(now_ms, service);
            }
        }
    }

    fn reserve_for_large_request(&mut self, now_ms: u64, service: usize) {
        let load = &mut self.services[service];
        let since = *load.blocked_since_ms.get_or_insert(now_ms);
        let at_ms = since + RESERVE_AFTER_MS;
        if now_ms < at_ms {
            self.rechecks.set_earliest(service, at_ms);
            return;
        }
        let is_held = load.reserved.is_some_and(|at| {
            let up = &self.upstreams.list[at];
            up.reserved_for == Some(service) && up.contribution.allowed > 0
        });
        if is_held {
            return;
        }
        self.release_reservation(now_ms, service);
        self.services[service].reserved = self.upstreams.reserve(now_ms, service);
        // Retries later in case no upstream could be reserved.
        self.rechecks
            .set_earliest(service, now_ms + RESERVE_AFTER_MS);
    }

    fn release_reservation(&mut self, now_ms: u64, service: usize) {
        if let Some(at) = self.services[service].reserved.take()
            && self.upstreams.unreserve(now_ms, service, at)
        {
            self.pools_to_schedule.extend(self.services[service].pool);
        }
    }
}
