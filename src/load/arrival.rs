//! Admission of arriving requests, and timeouts of queued ones.

use crate::model::RefusalReason;

use super::admission::Arrival;
use super::dispatcher::{Dispatcher, HOME_ZONE};
use super::queue::QueueKey;
use super::tracked::{Phase, Tracked};
use super::trail::Decision;
use super::{Action, Request, RequestId};

/// Time for which requests wait for a pool without a live upstream. A delayed refresh,
/// or an upstream that replaces another, is heard of within it; a longer outage is no
/// reason to keep callers waiting.
const DOWN_GRACE_MS: u64 = 1_000;

impl Dispatcher {
    pub(super) fn offer(&mut self, now_ms: u64, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            // The driver's ids are unique. Accepting an id twice would answer one
            // request twice.
            return;
        }
        let known = self.service_names.get(&request.service).copied();
        let known = known.filter(|&at| self.services[at].pool.is_some());
        let Some(service) = known else {
            self.refuse(now_ms, id, RefusalReason::UnknownService, None, out);
            return;
        };
        let class = request.class as usize;
        if class == 0 {
            let load = &mut self.services[service];
            load.urgent.record(now_ms, load.run.mean_ms());
        }
        self.update_zone_weights(now_ms, service);
        let arrival = self.arrival(now_ms, service, &request);
        let verdict = self
            .check_runnable(now_ms, service, &request)
            .and_then(|()| arrival.check());
        self.track(now_ms, service, request, arrival.wait_ms);
        match verdict {
            Ok(()) => {
                let wait_ms = arrival.wait_ms as u64;
                self.trail.add(now_ms, id, Decision::Queued { wait_ms });
                self.enqueue(now_ms, id);
            }
            Err(reason) => self.give_up(now_ms, id, reason, out),
        }
    }

    fn track(&mut self, now_ms: u64, service: usize, request: Request, wait_ms: f64) {
        let queue_key = QueueKey {
            team: request.team.clone(),
            caller: request.caller.clone(),
            seq: self.next_seq(),
        };
        let weights = &self.services[service].weights;
        let zone = weights.choose(HOME_ZONE, &mut self.rng);
        let tracked = Tracked {
            service,
            queue_key,
            arrived_ms: now_ms,
            estimated_ms: wait_ms,
            zone,
            phase: Phase::Waiting,
            attempts: 0,
            failures: 0,
            tried: Vec::new(),
            may_have_run: false,
            is_cancelled: false,
            request,
        };
        self.requests.insert(tracked.request.id, tracked);
    }

    /// Returns the reason why the request cannot run in the current state, if there is
    /// one.
    fn check_runnable(
        &mut self,
        now_ms: u64,
        service: usize,
        request: &Request,
    ) -> Result<(), RefusalReason> {
        if self.teams.is_closed(&request.team) || self.is_closed_everywhere(service) {
            return Err(RefusalReason::RowClosed);
        }
        if !self.upstreams.is_large_enough(service) {
            return Err(RefusalReason::NeverFits);
        }
        match self.down_since_ms(service) {
            Some(since) if now_ms >= since + DOWN_GRACE_MS => Err(RefusalReason::NoInstance),
            Some(since) => {
                self.rechecks.set_earliest(service, since + DOWN_GRACE_MS);
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn arrival(&self, now_ms: u64, service: usize, request: &Request) -> Arrival {
        let load = &self.services[service];
        let class = request.class as usize;
        let queue = &load.queues[class];
        let is_over_quota = !self.teams.may_run(&request.team);
        let starts_now = queue.len() == 0 && !is_over_quota && self.can_start(now_ms, service);
        let weight = self.teams.weight(&request.team);
        let ahead = queue.ahead(&request.team, &request.caller, weight);
        let trusted = load.run.is_trusted();
        Arrival {
            left_ms: request.deadline_ms.saturating_sub(now_ms),
            wait_ms: if starts_now || (!trusted && ahead <= 1.0) {
                0.0
            } else {
                load.drain_ms(class, ahead)
            },
            margin: load.wait_error[class].margin(),
            run_ms: load.run.trusted_ms(),
            run_high_ms: if trusted { load.run.high_ms() } else { 0.0 },
            queue_ms: self.queue_ms(service, request),
            queued: queue.len(),
            is_only: load.in_flight[class] == 0,
            is_over_quota,
        }
    }

    /// Returns the longest wait allowed by the rows of the team and of the own zone.
    fn queue_ms(&self, service: usize, request: &Request) -> Option<u64> {
        let of_team = self.teams.queue_ms(&request.team);
        let of_zone = self.services[service].queue_ms(HOME_ZONE);
        of_team.into_iter().chain(of_zone).min()
    }

    /// Returns whether some open zone has a free slot for the service.
    fn can_start(&self, now_ms: u64, service: usize) -> bool {
        let fit = &self.upstreams.fits[service];
        let mut zones = self.zones_of(service);
        zones.any(|zone| !fit.ready[zone].is_empty() && self.is_open(now_ms, service, zone))
    }

    /// Returns since when no upstream in an open zone has been live; `None` while one
    /// is.
    pub(super) fn down_since_ms(&self, service: usize) -> Option<u64> {
        let load = &self.services[service];
        let mut since = 0;
        for zone in 0..self.upstreams.zones.len() {
            if load.is_closed(zone) || !(self.is_fresh || zone == HOME_ZONE) {
                continue;
            }
            let group = self.upstreams.group(service, zone)?;
            since = since.max(group.down_since_ms?);
        }
        Some(since)
    }

    pub(super) fn update_zone_weights(&mut self, now_ms: u64, service: usize) {
        let load = &self.services[service];
        let target = |zone: usize| {
            let is_live = self
                .upstreams
                .group(service, zone)
                .is_some_and(|group| group.live > 0);
            if is_live && (self.is_fresh || zone == HOME_ZONE) {
                load.weight(zone)
            } else {
                0.0
            }
        };
        let targets: Vec<f64> = (0..self.upstreams.zones.len()).map(target).collect();
        self.services[service].weights.advance(now_ms, &targets);
    }

    /// Returns the time at which a queued request is given up: when it can no longer be
    /// answered before its deadline, or has waited as long as its rows allow.
    pub(super) fn queue_timeout_ms(&self, now_ms: u64, id: RequestId) -> u64 {
        let Some(tracked) = self.requests.get(&id) else {
            return now_ms;
        };
        let load = &self.services[tracked.service];
        let run_ms = load.run.trusted_ms() as u64;
        let latest = tracked.request.deadline_ms.saturating_sub(run_ms);
        let queue_ms = self.queue_ms(tracked.service, &tracked.request);
        let queue = queue_ms.map_or(u64::MAX, |ms| tracked.arrived_ms.saturating_add(ms));
        latest.min(queue).max(now_ms + 1)
    }

    pub(super) fn handle_queue_timeout(
        &mut self,
        now_ms: u64,
        id: RequestId,
        out: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get(&id) else {
            return;
        };
        let service = tracked.service;
        let at_ms = self.queue_timeout_ms(now_ms, id);
        let class = tracked.class();
        let (estimated_ms, arrived_ms) = (tracked.estimated_ms, tracked.arrived_ms);
        // The learned run time changes while the request waits, and so does its
        // timeout.
        if at_ms > now_ms + 1 {
            self.queue_timeouts.set(id, at_ms);
            return;
        }
        let run_ms = self.services[service].run.mean_ms();
        let reason = if self.down_since_ms(service).is_some() {
            RefusalReason::NoInstance
        } else if !self.teams.may_run(&tracked.request.team) {
            RefusalReason::TeamQuota
        } else if now_ms as f64 + run_ms >= tracked.request.deadline_ms as f64 {
            RefusalReason::Deadline
        } else {
            RefusalReason::QueueFull
        };
        let waited_ms = now_ms.saturating_sub(arrived_ms);
        self.services[service].record_wait(class, estimated_ms, waited_ms);
        self.give_up(now_ms, id, reason, out);
    }

    /// Refuses the queued requests of a service whose pool has been down for longer
    /// than `DOWN_GRACE_MS`.
    pub(super) fn refuse_if_down(&mut self, now_ms: u64, service: usize, out: &mut Vec<Action>) {
        let Some(since) = self.down_since_ms(service) else {
            return;
        };
        if now_ms >= since + DOWN_GRACE_MS {
            self.refuse_waiting(now_ms, service, RefusalReason::NoInstance, out);
        } else {
            self.rechecks.set_earliest(service, since + DOWN_GRACE_MS);
        }
    }
}
