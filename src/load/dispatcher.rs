//! What a dispatcher knows and takes in.
//!
//! Each input is handed to the module that decides on it: `arrive` at the door,
//! `attempt_end` when an attempt is over, `answer` when a request is done,
//! `view_change` when the replicated state changes. `pump` then starts what can.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::model::{RefusalReason, ServiceName};

use super::retry::RetryBudget;
use super::service_load::ServiceLoad;
use super::teams::Teams;
use super::timers::Timers;
use super::tracked::{Phase, Tracked};
use super::trail::Trail;
use super::upstreams::Upstreams;
use super::{Action, Input, LoadSettings, RequestId, RetryReason};

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

    pub(super) fn all_dirty(&mut self) {
        self.dirty
            .extend(self.services.iter().filter_map(|s| s.pool));
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
