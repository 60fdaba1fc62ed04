use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::model::{RefusalReason, ServiceName};

use super::admission::retry_after_ms;
use super::retry::{ATTEMPTS_MAX, RetryBudget};
use super::service_load::ServiceLoad;
use super::teams::Teams;
use super::timers::Timers;
use super::tracked::{Phase, Tracked};
use super::trail::{Decision, Trail};
use super::upstreams::{End, Target, Upstreams};
use super::{Action, AttemptId, AttemptRefusal, Input, LoadSettings, RequestId, RetryReason, View};

/// Index of the entry instance's own zone.
pub(super) const HOME: usize = 0;

/// An upstream with at most one of this many slots in use is hardly used.
const CALM_PART: u32 = 4;

/// Decides for one entry instance which request is let in, waits, runs where,
/// is tried again or refused.
///
/// Every offered request ends with exactly one of `Deliver`, `Refuse` and
/// `GiveUpUnknown`; only one that was cancelled in flight ends with none, since
/// nobody waits for it.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) settings: LoadSettings,
    pub(super) rng: ChaCha8Rng,
    pub(super) upstreams: Upstreams,
    pub(super) services: Vec<ServiceLoad>,
    pub(super) service_names: BTreeMap<ServiceName, usize>,
    pub(super) teams: Teams,
    pub(super) requests: BTreeMap<RequestId, Tracked>,
    pub(super) retries: RetryBudget,
    pub(super) trail: Trail,
    pub(super) refusals: BTreeMap<RefusalReason, u64>,
    pub(super) retried: BTreeMap<RetryReason, u64>,
    /// When a waiting request is given up.
    pub(super) give_ups: Timers<RequestId>,
    /// When a service's queue must be looked at again.
    pub(super) looks: Timers<usize>,
    /// Pools in which something may start.
    pub(super) dirty: BTreeSet<usize>,
    /// Pools whose last dispatch was patient.
    pub(super) patient_last: BTreeSet<usize>,
    /// Virtual time of each pool and class (see `pump`).
    pub(super) present: BTreeMap<(usize, usize), f64>,
    pub(super) is_fresh: bool,
    next_seq: u64,
}

impl Dispatcher {
    /// A dispatcher that knows no upstream, pool or row yet.
    pub fn new(settings: LoadSettings, now_ms: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            upstreams: Upstreams::new(settings.home.clone(), now_ms),
            settings,
            services: Vec::new(),
            service_names: BTreeMap::new(),
            teams: Teams::default(),
            requests: BTreeMap::new(),
            retries: RetryBudget::new(),
            trail: Trail::default(),
            refusals: BTreeMap::new(),
            retried: BTreeMap::new(),
            give_ups: Timers::new(),
            looks: Timers::new(),
            dirty: BTreeSet::new(),
            patient_last: BTreeSet::new(),
            present: BTreeMap::new(),
            is_fresh: true,
            next_seq: 0,
        }
    }

    /// Takes one input and returns what to do, in this order.
    pub fn handle(&mut self, now_ms: u64, input: Input<'_>) -> Vec<Action> {
        let mut out = Vec::new();
        self.run_timers(now_ms, &mut out);
        match input {
            Input::Offer(request) => self.offer(now_ms, request, &mut out),
            Input::Cancel(id) => self.cancel(now_ms, id, &mut out),
            Input::Refused {
                request,
                attempt,
                refusal,
            } => self.refused(now_ms, request, attempt, refusal, &mut out),
            Input::Finished {
                request,
                attempt,
                status,
                run_us,
            } => self.finished(now_ms, request, attempt, status, run_us, &mut out),
            Input::Lost {
                request, attempt, ..
            } => self.lost(now_ms, request, attempt, &mut out),
            Input::Report {
                report,
                lease_until_ms,
            } => {
                let pool = self.upstreams.report(now_ms, report, lease_until_ms);
                self.dirty.extend(pool);
            }
            Input::View(view) => self.set_view(now_ms, &view, &mut out),
            Input::PeerLoad { peer, in_flight } => {
                self.upstreams.peer_load(now_ms, peer, &in_flight);
                self.peers_changed();
            }
            Input::PeerGone(peer) => {
                self.upstreams.peer_gone(now_ms, &peer);
                self.peers_changed();
            }
            Input::ViewFresh(fresh) => {
                self.is_fresh = fresh;
                self.all_dirty();
            }
            Input::Tick => {}
        }
        self.pump(now_ms, &mut out);
        out
    }

    /// When time alone next changes something, if ever: a tick is due then.
    pub fn next_wake_ms(&self) -> Option<u64> {
        let times = [
            self.upstreams.next_ms(),
            self.give_ups.next_ms(),
            self.looks.next_ms(),
        ];
        times.into_iter().flatten().min()
    }

    fn run_timers(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let pools = self.upstreams.tick(now_ms);
        self.dirty.extend(pools);
        while let Some(id) = self.give_ups.pop_due(now_ms) {
            self.wait_is_over(now_ms, id, out);
        }
        while let Some(service) = self.looks.pop_due(now_ms) {
            self.dirty.extend(self.services[service].pool);
            self.refuse_if_down(now_ms, service, out);
        }
    }

    fn peers_changed(&mut self) {
        self.teams.set_peers(self.upstreams.peers());
        self.all_dirty();
    }

    fn all_dirty(&mut self) {
        self.dirty
            .extend(self.services.iter().filter_map(|s| s.pool));
    }

    fn set_view(&mut self, now_ms: u64, view: &View, out: &mut Vec<Action>) {
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
        self.all_dirty();
    }

    /// The index of a service, made when it is first seen.
    fn service(&mut self, now_ms: u64, declared: &crate::model::Service) -> usize {
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

    /// What waits for a service or zone that a change has closed is refused now
    /// and not when its time runs out.
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

    fn waiting_of(&self, service: usize) -> Vec<RequestId> {
        let queues = &self.services[service].queues;
        queues
            .iter()
            .flat_map(super::queue::ClassQueue::ids)
            .collect()
    }

    pub(super) fn refuse_waiting(
        &mut self,
        now_ms: u64,
        service: usize,
        reason: RefusalReason,
        out: &mut Vec<Action>,
    ) {
        for id in self.waiting_of(service) {
            self.give_up(now_ms, id, reason, out);
        }
    }

    fn cancel(&mut self, now_ms: u64, id: RequestId, out: &mut Vec<Action>) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        if tracked.phase == Phase::Waiting {
            self.give_up(now_ms, id, RefusalReason::Cancelled, out);
        } else {
            tracked.is_cancelled = true;
            self.trail.add(now_ms, id, Decision::CancelledInFlight);
        }
    }

    /// Ends the present attempt: frees its slot and learns from it.
    fn end_attempt(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: AttemptId,
        end: impl FnOnce(&mut ServiceLoad, bool) -> End,
    ) -> Option<Target> {
        let tracked = self.requests.get_mut(&id)?;
        let (to, calm) = tracked.runs(attempt)?;
        tracked.phase = Phase::Waiting;
        let class = tracked.class();
        let service = &mut self.services[tracked.service];
        service.ended(to.zone, class);
        self.teams.ended(&tracked.request.team);
        let end = end(service, calm);
        self.upstreams.ended(now_ms, to, class, end);
        // A team's quota or a row's limit may hold up other pools too.
        self.dirty.insert(to.pool);
        if self.teams.has_quota(&tracked.request.team) {
            self.all_dirty();
        }
        Some(to)
    }

    fn finished(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: AttemptId,
        status: u16,
        run_us: u64,
        out: &mut Vec<Action>,
    ) {
        let has_failed = status >= 500;
        let end = |service: &mut ServiceLoad, calm: bool| {
            if has_failed {
                return End::Failed;
            }
            let ratio = service.run.ratio(run_us);
            service.run.saw(run_us, calm);
            End::Answered { ratio }
        };
        let Some(to) = self.end_attempt(now_ms, id, attempt, end) else {
            return;
        };
        if has_failed {
            self.try_again(now_ms, id, to, RetryReason::Failed, out);
            return;
        }
        if let Some(tracked) = self.requests.get(&id) {
            self.retries.earn(now_ms, to.pool, &tracked.request.caller);
        }
        self.deliver(now_ms, id, out);
    }

    fn lost(&mut self, now_ms: u64, id: RequestId, attempt: AttemptId, out: &mut Vec<Action>) {
        if let Some(to) = self.end_attempt(now_ms, id, attempt, |_, _| End::Failed) {
            self.try_again(now_ms, id, to, RetryReason::Lost, out);
        }
    }

    fn refused(
        &mut self,
        now_ms: u64,
        id: RequestId,
        attempt: AttemptId,
        refusal: AttemptRefusal,
        out: &mut Vec<Action>,
    ) {
        let (end, reason) = match refusal {
            AttemptRefusal::ConnectFailed => (End::Failed, RetryReason::ConnectFailed),
            AttemptRefusal::Busy => (End::Busy, RetryReason::Busy),
            AttemptRefusal::Leaving => (End::Moved, RetryReason::Leaving),
            AttemptRefusal::StaleEpoch => (End::Moved, RetryReason::StaleEpoch),
        };
        if let Some(to) = self.end_attempt(now_ms, id, attempt, |_, _| end) {
            self.try_again(now_ms, id, to, reason, out);
        }
    }

    /// Puts a request whose attempt failed back into its queue, or answers it.
    fn try_again(
        &mut self,
        now_ms: u64,
        id: RequestId,
        to: Target,
        reason: RetryReason,
        out: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        if tracked.is_cancelled {
            self.requests.remove(&id);
            return;
        }
        let ran = matches!(reason, RetryReason::Lost | RetryReason::Failed);
        tracked.may_have_run |= ran;
        if !reason.is_free() {
            tracked.failures += 1;
            tracked.tried.push(to);
        }
        match self.why_not_again(now_ms, id, to, reason, ran) {
            None => {
                *self.retried.entry(reason).or_default() += 1;
                self.trail.add(now_ms, id, Decision::Retried(reason));
                self.enqueue(now_ms, id);
            }
            // The failure that the upstream answered is the whole answer.
            Some(_) if reason == RetryReason::Failed => self.deliver(now_ms, id, out),
            Some(why) => self.give_up(now_ms, id, why, out),
        }
    }

    fn why_not_again(
        &mut self,
        now_ms: u64,
        id: RequestId,
        to: Target,
        reason: RetryReason,
        ran: bool,
    ) -> Option<RefusalReason> {
        let tracked = self.requests.get(&id)?;
        let request = &tracked.request;
        let run_ms = self.services[tracked.service].run.trusted_ms();
        if ran && !request.idempotent {
            return Some(RefusalReason::RetryBudget);
        }
        if now_ms as f64 + run_ms > request.deadline_ms as f64 {
            return Some(RefusalReason::Deadline);
        }
        if self.services[tracked.service].pool.is_none() {
            return Some(RefusalReason::UnknownService);
        }
        if reason.is_free() {
            return None;
        }
        let is_spent = tracked.failures >= ATTEMPTS_MAX
            || !self.retries.spend(now_ms, to.pool, &request.caller);
        is_spent.then_some(RefusalReason::RetryBudget)
    }

    fn deliver(&mut self, now_ms: u64, id: RequestId, out: &mut Vec<Action>) {
        let Some(tracked) = self.requests.remove(&id) else {
            return;
        };
        if tracked.is_cancelled {
            return;
        }
        let attempt = tracked.attempt();
        self.trail.add(now_ms, id, Decision::Delivered(attempt));
        out.push(Action::Deliver {
            request: id,
            attempt,
        });
    }

    /// Answers a request that will not be tried (again), at once.
    pub(super) fn give_up(
        &mut self,
        now_ms: u64,
        id: RequestId,
        reason: RefusalReason,
        out: &mut Vec<Action>,
    ) {
        self.give_ups.clear(id);
        let Some(tracked) = self.requests.remove(&id) else {
            return;
        };
        let class = tracked.class();
        self.services[tracked.service].queues[class].remove(&tracked.ticket);
        if tracked.may_have_run {
            self.trail.add(now_ms, id, Decision::Unknown);
            out.push(Action::GiveUpUnknown { request: id });
            return;
        }
        let wait_ms = self.come_back_in_ms(now_ms, &tracked, reason);
        self.refuse(now_ms, id, reason, wait_ms, out);
    }

    /// Time after which the reason may be gone; none where it will not be.
    fn come_back_in_ms(
        &mut self,
        now_ms: u64,
        tracked: &Tracked,
        reason: RefusalReason,
    ) -> Option<f64> {
        let service = &self.services[tracked.service];
        let class = tracked.class();
        match reason {
            RefusalReason::RetryBudget => Some(
                service
                    .pool
                    .map_or(0.0, |p| self.retries.wait_ms(now_ms, p)),
            ),
            _ => {
                let ahead = (service.queues[class].len() + 1) as f64;
                base_wait_ms(reason, service.drain_ms(class, ahead))
            }
        }
    }

    pub(super) fn refuse(
        &mut self,
        now_ms: u64,
        id: RequestId,
        reason: RefusalReason,
        wait_ms: Option<f64>,
        out: &mut Vec<Action>,
    ) {
        *self.refusals.entry(reason).or_default() += 1;
        self.trail.add(now_ms, id, Decision::Refused(reason));
        let retry_after_ms = wait_ms.map(|wait| retry_after_ms(wait, &mut self.rng));
        out.push(Action::Refuse {
            request: id,
            reason,
            retry_after_ms,
        });
    }

    /// Puts a request into its queue, at its own place if it was there before.
    pub(super) fn enqueue(&mut self, now_ms: u64, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        tracked.phase = Phase::Waiting;
        let class = tracked.class();
        let service = &mut self.services[tracked.service];
        if service.queues[class].len() == 0 {
            let pool = service.pool.unwrap_or_default();
            let present = self.present.get(&(pool, class)).copied().unwrap_or(0.0);
            service.tags[class] = service.tags[class].max(present);
        }
        let weight = self.teams.weight(&tracked.request.team);
        service.queues[class].push(&tracked.ticket, weight, id);
        self.dirty.extend(service.pool);
        let at_ms = self.give_up_at_ms(now_ms, id);
        self.give_ups.set(id, at_ms);
    }

    pub(super) fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    pub(super) fn is_calm(in_flight: u32, slots: u32) -> bool {
        in_flight * CALM_PART <= slots
    }

    pub(super) fn is_closed_everywhere(&self, service: usize) -> bool {
        let mut zones = self.zones_of(service).peekable();
        let load = &self.services[service];
        if zones.peek().is_none() {
            return load.is_closed(HOME);
        }
        zones.all(|zone| load.is_closed(zone))
    }

    /// Zones whose upstreams may be used for the service, closed ones included.
    pub(super) fn zones_of(&self, service: usize) -> impl Iterator<Item = usize> + '_ {
        let n = self.upstreams.zones.len();
        (0..n).filter(move |&zone| {
            (self.is_fresh || zone == HOME) && self.upstreams.has_members(service, zone)
        })
    }
}

fn base_wait_ms(reason: RefusalReason, drain_ms: f64) -> Option<f64> {
    /// Upstreams announce themselves again within a second or two.
    const NO_INSTANCE_MS: f64 = 1_000.0;
    /// Operators open a row by hand.
    const ROW_CLOSED_MS: f64 = 10_000.0;
    match reason {
        RefusalReason::NoInstance => Some(NO_INSTANCE_MS),
        RefusalReason::RowClosed => Some(ROW_CLOSED_MS),
        RefusalReason::UnknownService
        | RefusalReason::NeverFits
        | RefusalReason::Cancelled
        | RefusalReason::BadRequest
        | RefusalReason::KeyConflict => None,
        RefusalReason::Deadline
        | RefusalReason::Starting
        | RefusalReason::QueueFull
        | RefusalReason::TeamQuota
        | RefusalReason::RetryBudget
        | RefusalReason::NoQuorum
        | RefusalReason::Stopping => Some(drain_ms),
    }
}
