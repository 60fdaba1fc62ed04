//! What starts next: class, service, request, zone and upstream.
//!
//! Pattern of load: long work among short, and urgent work beside patient. The
//! order of the classes is the one that `headroom` states; the services of a
//! class take turns by the run time they use, so that one with long requests
//! does not get more than one with short ones; within a service `queue` decides.
//!
//! A pool is pumped only when something in it changed, and only until nothing
//! more can start: the cost of an event is that of the requests it starts.
//!
//! A service with large requests can starve beside one with small ones, which
//! take each bit of room as it is freed. When its next request has fitted
//! nowhere for `RESERVE_AFTER_MS`, one upstream takes nothing else until it fits:
//! it starts at most the longest run time there later. One upstream at a time
//! bounds the cost to the others.
//!
//! When the zone that is meant to take a request is full, another one takes it
//! if the request would wait longer than `SPILL_MS` for it: about two ways
//! between zones 1 ms apart, and what a cold connection costs there.

use crate::model::{Class, RefusalReason};

use super::dispatcher::{Dispatcher, HOME};
use super::headroom::{patient_ceiling, patient_floor};
use super::route::{Want, choose};
use super::tracked::Phase;
use super::trail::{Decision, Placement};
use super::upstreams::Target;
use super::{Action, RequestId};

/// Expected wait at which another zone pays.
const SPILL_MS: u64 = 5;

/// Time for which a large request may fit nowhere before room is made for it.
const RESERVE_AFTER_MS: u64 = 200;

/// Level at which a pool counts as having urgent work although no service of it
/// is declared so: one request leaves more behind than this for a minute.
const URGENT_SEEN: f64 = 1e-5;

const URGENT: usize = Class::Urgent as usize;
const PATIENT: usize = Class::Patient as usize;

/// A request and where it is to go.
#[derive(Clone, Copy, Debug)]
struct Start {
    id: RequestId,
    service: usize,
    upstream: usize,
    why: Placement,
}

impl Dispatcher {
    /// Starts all that can start in the pools that changed.
    pub(super) fn pump(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        while let Some(pool) = self.dirty.pop_first() {
            while let Some(start) = self.next_start(now_ms, pool, out) {
                self.start(now_ms, pool, &start, out);
            }
            self.settle(now_ms, pool);
        }
    }

    fn next_start(&mut self, now_ms: u64, pool: usize, out: &mut Vec<Action>) -> Option<Start> {
        for class in self.class_order(pool) {
            for service in self.service_order(pool, class) {
                let start = self.head_start(now_ms, service, class, out);
                if start.is_some() {
                    return start;
                }
            }
        }
        None
    }

    /// Urgent first, unless patient work has less than its guaranteed slots and
    /// it is its turn.
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

    /// Services with something waiting, by the run time they have used.
    fn service_order(&self, pool: usize, class: usize) -> Vec<usize> {
        let services = self.upstreams.pools[pool].services.iter().copied();
        let mut waiting: Vec<usize> = services
            .filter(|&s| self.services[s].queues[class].len() > 0)
            .collect();
        let tag = |s: usize| self.services[s].tags[class];
        waiting.sort_by(|&a, &b| tag(a).total_cmp(&tag(b)));
        waiting
    }

    /// Where the next request of a queue can start now. Refuses those before it
    /// whose time has run out.
    fn head_start(
        &mut self,
        now_ms: u64,
        service: usize,
        class: usize,
        out: &mut Vec<Action>,
    ) -> Option<Start> {
        loop {
            let queue = &self.services[service].queues[class];
            let id = queue.peek(|team| self.teams.may_run(team))?;
            // Queues and requests change together; if they ever did not, a queue
            // that stands still is better than a loop without end.
            self.requests.get(&id)?;
            if !self.is_late(now_ms, id) {
                return self.place(now_ms, service, id);
            }
            self.give_up(now_ms, id, RefusalReason::Deadline, out);
        }
    }

    fn is_late(&self, now_ms: u64, id: RequestId) -> bool {
        let Some(tracked) = self.requests.get(&id) else {
            return true;
        };
        let load = &self.services[tracked.service];
        // The only one goes even if it seems too long: see `admission`.
        let is_only = load.in_flight[tracked.class()] == 0;
        let run_ms = if is_only { 0.0 } else { load.run.trusted_ms() };
        let deadline_ms = tracked.request.deadline_ms;
        deadline_ms <= now_ms || now_ms as f64 + run_ms > deadline_ms as f64
    }

    fn place(&mut self, now_ms: u64, service: usize, id: RequestId) -> Option<Start> {
        let planned = self.requests.get(&id)?.zone;
        if let Some(start) = self.place_in(now_ms, service, id, planned) {
            return Some(start);
        }
        if !self.pays_to_spill(now_ms, service, id, planned) {
            return None;
        }
        let mut zones: Vec<usize> = self.zones_of(service).filter(|&z| z != planned).collect();
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
    ) -> Option<Start> {
        let tracked = self.requests.get(&id)?;
        if !self.is_open(now_ms, service, zone) {
            return None;
        }
        if tracked.class() == PATIENT && !self.has_patient_room(now_ms, service, zone) {
            return None;
        }
        let want = Want {
            service,
            idempotent: tracked.request.idempotent,
            tried: &tracked.tried,
        };
        let upstream = choose(&self.upstreams, now_ms, &want, zone, &mut self.rng)?;
        let why = if self.upstreams.list[upstream].record.is_on_probation() {
            Placement::Probe
        } else if zone == tracked.zone {
            Placement::Planned
        } else {
            Placement::Spilled
        };
        Some(Start {
            id,
            service,
            upstream,
            why,
        })
    }

    /// Whether the rows, and what is known of the replicated state, let one more
    /// request of the service run in the zone.
    pub(super) fn is_open(&self, _now_ms: u64, service: usize, zone: usize) -> bool {
        let load = &self.services[service];
        let Some(group) = self.upstreams.group(service, zone) else {
            return false;
        };
        (self.is_fresh || zone == HOME)
            && !load.is_closed(zone)
            && load.has_room(zone, group.foreign, self.upstreams.peers())
    }

    /// Whether patient work may take one more slot of the zone.
    fn has_patient_room(&self, now_ms: u64, service: usize, zone: usize) -> bool {
        let Some(group) = self.upstreams.group(service, zone) else {
            return false;
        };
        let level = self.urgent_level(now_ms, service).map(|level| {
            // Urgent requests that arrive here run here: see `zone_weights`.
            if zone == HOME { level } else { 0.0 }
        });
        let slots = group.allowed.max(group.in_flight.iter().sum());
        group.in_flight[PATIENT] < patient_ceiling(slots, level)
    }

    /// Urgent load of the service's pool; none if it has no urgent work.
    fn urgent_level(&self, now_ms: u64, service: usize) -> Option<f64> {
        let pool = self.services[service].pool?;
        let mut sum = 0.0;
        let mut has_urgent = false;
        for &other in &self.upstreams.pools[pool].services {
            let load = &self.services[other];
            let level = load.urgent.level(now_ms);
            has_urgent |= load.class == Class::Urgent || level > URGENT_SEEN;
            sum += level;
        }
        has_urgent.then_some(sum)
    }

    /// Whether the planned zone would keep the request waiting for longer than
    /// another zone costs.
    fn pays_to_spill(
        &mut self,
        now_ms: u64,
        service: usize,
        id: RequestId,
        planned: usize,
    ) -> bool {
        let Some(tracked) = self.requests.get(&id) else {
            return false;
        };
        let load = &self.services[service];
        let is_down = self
            .upstreams
            .group(service, planned)
            .is_none_or(|group| group.live == 0);
        let spill_at_ms = tracked.arrived_ms + SPILL_MS;
        let running = load.running_in(planned);
        let next_ms = load.run.mean_ms() / f64::from(running.max(1));
        if is_down || running == 0 || now_ms >= spill_at_ms || next_ms >= SPILL_MS as f64 {
            return true;
        }
        self.looks.set_earliest(service, spill_at_ms);
        false
    }

    fn start(&mut self, now_ms: u64, pool: usize, start: &Start, out: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get_mut(&start.id) else {
            return;
        };
        let class = tracked.class();
        let up = &self.upstreams.list[start.upstream];
        let Some((_, zone)) = up.counted.group else {
            return;
        };
        let to = Target {
            upstream: start.upstream,
            generation: up.generation,
            pool,
            zone,
            demand: self.services[start.service].demand,
        };
        let calm = Self::is_calm(up.in_flight() + up.counted.foreign + 1, up.limit.slots());
        tracked.attempts += 1;
        tracked.phase = Phase::Running { to, calm };
        let waited_ms = now_ms.saturating_sub(tracked.arrived_ms);
        out.push(Action::Dispatch {
            request: start.id,
            attempt: tracked.attempt(),
            instance: up.name.clone(),
            incarnation: up.incarnation(),
            pool_epoch: up.epoch,
        });
        let decision = Decision::Dispatched {
            attempt: tracked.attempt(),
            instance: up.name.clone(),
            waited_ms,
            why: start.why,
        };
        self.trail.add(now_ms, start.id, decision);
        self.give_ups.clear(start.id);
        let tracked = &self.requests[&start.id];
        self.teams.started(&tracked.request.team);
        let load = &mut self.services[start.service];
        load.queues[class].serve(&tracked.ticket);
        load.started(zone, class);
        load.blocked_since_ms = None;
        if tracked.attempts == 1 {
            load.saw_wait(class, tracked.estimated_ms, waited_ms);
        }
        let present = self.present.entry((pool, class)).or_default();
        *present = present.max(load.tags[class]);
        load.tags[class] += load.run.mean_ms().max(0.001);
        if class == PATIENT {
            self.patient_last.insert(pool);
        } else {
            self.patient_last.remove(&pool);
        }
        self.upstreams
            .started(now_ms, start.upstream, start.service, class);
        let slots = self.upstreams.pools[pool].groups.iter().map(|g| g.allowed);
        self.retries.set_slots(now_ms, pool, slots.sum());
    }

    /// After nothing more can start: looks after services that still wait.
    fn settle(&mut self, now_ms: u64, pool: usize) {
        for service in self.upstreams.pools[pool].services.clone() {
            if self.services[service].waiting() == 0 {
                self.services[service].blocked_since_ms = None;
                self.release(now_ms, service);
                continue;
            }
            if let Some(since) = self.down_since_ms(service) {
                let look_ms = since.max(now_ms) + 1_000;
                self.looks.set_earliest(service, look_ms);
            } else if self.upstreams.is_large(service) {
                self.make_room(now_ms, service);
            }
        }
    }

    fn make_room(&mut self, now_ms: u64, service: usize) {
        let load = &mut self.services[service];
        let since = *load.blocked_since_ms.get_or_insert(now_ms);
        let at_ms = since + RESERVE_AFTER_MS;
        if now_ms < at_ms {
            self.looks.set_earliest(service, at_ms);
            return;
        }
        let holds = load.reserved.is_some_and(|at| {
            let up = &self.upstreams.list[at];
            up.reserved_for == Some(service) && up.counted.allowed > 0
        });
        if holds {
            return;
        }
        self.release(now_ms, service);
        self.services[service].reserved = self.upstreams.reserve(now_ms, service);
        // Nothing could be kept free: try again later.
        self.looks.set_earliest(service, now_ms + RESERVE_AFTER_MS);
    }

    fn release(&mut self, now_ms: u64, service: usize) {
        if let Some(at) = self.services[service].reserved.take()
            && self.upstreams.unreserve(now_ms, service, at)
        {
            self.dirty.extend(self.services[service].pool);
        }
    }
}
