//! Applies rows and services of the replicated state, and refuses queued
//! requests for whatever a change has closed.
//!
//! `membership` applies pools and instances of the same state.

use crate::model::{RefusalReason, Service};

use super::dispatcher::Dispatcher;
use super::service_load::ServiceLoad;
use super::{Action, View};

impl Dispatcher {
    pub(super) fn set_view(&mut self, now_ms: u64, view: &View, out: &mut Vec<Action>) {
        let mut carried = Vec::with_capacity(view.carriers.len());
        for (name, pool) in &view.carriers {
            let declared = view.pools.get(pool);
            let declared = declared.and_then(|p| p.services.iter().find(|s| s.name == *name));
            let Some(declared) = declared else {
                continue;
            };
            let at = self.service(now_ms, declared);
            carried.push((pool, at, declared.demand));
        }
        self.upstreams.set_view(now_ms, view, &carried);
        self.teams.set_rows(&view.rows);
        for (at, service) in self.services.iter_mut().enumerate() {
            service.pool = self.upstreams.fits.get(at).and_then(|fit| fit.pool);
            service.set_rows(&self.upstreams.zones, &view.rows);
        }
        self.refuse_closed(now_ms, out);
        self.mark_all_pools();
    }

    /// Returns the index of a service, which is created when first seen.
    fn service(&mut self, now_ms: u64, declared: &Service) -> usize {
        if let Some(&at) = self.service_names.get(&declared.name) {
            let service = &mut self.services[at];
            service.class = declared.class;
            service.demand = declared.demand;
            return at;
        }
        let name = declared.name.clone();
        let service = ServiceLoad::new(name.clone(), declared.class, declared.demand, now_ms);
        self.services.push(service);
        self.service_names.insert(name, self.services.len() - 1);
        self.services.len() - 1
    }

    /// Refuses queued requests for a service or zone that a change has closed at once,
    /// instead of at their timeout.
    fn refuse_closed(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        for service in 0..self.services.len() {
            let reason = if self.services[service].pool.is_none() {
                RefusalReason::UnknownService
            } else if self.is_closed_everywhere(service) {
                RefusalReason::RowClosed
            } else {
                self.refuse_closed_teams(now_ms, service, out);
                continue;
            };
            self.refuse_waiting(now_ms, service, reason, out);
        }
    }

    fn refuse_closed_teams(&mut self, now_ms: u64, service: usize, out: &mut Vec<Action>) {
        for id in self.waiting_of(service) {
            let team = self.requests.get(&id).map(|t| &t.request.team);
            if team.is_some_and(|team| self.teams.is_closed(team)) {
                self.give_up(now_ms, id, RefusalReason::RowClosed, out);
            }
        }
    }
}
