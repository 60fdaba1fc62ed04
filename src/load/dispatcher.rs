//! The state of a dispatcher, and its entry point for inputs.
//!
//! Each input goes to the module that handles it: `arrival` for new requests,
//! `attempt_end` for attempts that are over, `answer` for requests that are
//! done, `view_change` for changes of the replicated state. A scheduling pass
//! (`scheduling`) then starts every request that can start.

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
pub(super) const HOME_ZONE: usize = 0;

/// An upstream is lightly loaded while at most one in this many of its slots is in use.
const LIGHT_LOAD_DIVISOR: u32 = 4;

/// Decides, for one entry instance, which requests are admitted, queued, dispatched,
/// retried or refused.
///
/// Every offered request ends with exactly one of `Deliver`,
/// `Refuse` and `GiveUpUnknown`. The exception is a request cancelled in flight: it
/// ends with none of them, since no caller waits for it.
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
    /// Time at which each queued request is given up.
    pub(super) queue_timeouts: Timers<RequestId>,
    /// Time at which the queues of each service must be checked again.
    pub(super) rechecks: Timers<usize>,
    /// Pools for which a scheduling pass is due.
    pub(super) pools_to_schedule: BTreeSet<usize>,
    /// Pools whose last dispatch was of the patient class.
    pub(super) patient_last: BTreeSet<usize>,
    /// Virtual time of each pool and class (see `scheduling`).
    pub(super) virtual_times: BTreeMap<(usize, usize), f64>,
    /// Whether the replicated state is fresh; while it is not, only the own zone is
    /// used.
    pub(super) is_fresh: bool,
    next_seq: u64,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no upstream, pool or row yet.
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
            queue_timeouts: Timers::new(),
            rechecks: Timers::new(),
            pools_to_schedule: BTreeSet::new(),
            patient_last: BTreeSet::new(),
            virtual_times: BTreeMap::new(),
            is_fresh: true,
            next_seq: 0,
        }
    }

    /// Handles one input and returns the resulting actions, in the order of execution.
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
                self.pools_to_schedule.extend(pool);
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
                self.mark_all_pools();
            }
            Input::Tick => {}
        }
        self.run_scheduling_pass(now_ms, &mut out);
        out
    }

    /// Returns the earliest time at which a timer is due, if any. The driver sends a
    /// tick then.
    pub fn next_wake_ms(&self) -> Option<u64> {
        let times = [
            self.upstreams.next_ms(),
            self.queue_timeouts.next_ms(),
            self.rechecks.next_ms(),
        ];
        times.into_iter().flatten().min()
    }

    fn run_timers(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let pools = self.upstreams.tick(now_ms);
        self.pools_to_schedule.extend(pools);
        while let Some(id) = self.queue_timeouts.pop_due(now_ms) {
            self.handle_queue_timeout(now_ms, id, out);
        }
        while let Some(service) = self.rechecks.pop_due(now_ms) {
            self.pools_to_schedule.extend(self.services[service].pool);
            self.refuse_if_down(now_ms, service, out);
        }
    }

    fn peers_changed(&mut self) {
        self.teams.set_peers(self.upstreams.peers());
        self.mark_all_pools();
    }

    pub(super) fn mark_all_pools(&mut self) {
        self.pools_to_schedule
            .extend(self.services.iter().filter_map(|s| s.pool));
    }

    /// Puts a request into its queue. A request that returns keeps its original
    /// position.
    pub(super) fn enqueue(&mut self, now_ms: u64, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        tracked.phase = Phase::Waiting;
        let class = tracked.class();
        let service = &mut self.services[tracked.service];
        if service.queues[class].len() == 0 {
            let pool = service.pool.unwrap_or_default();
            let virtual_time = self
                .virtual_times
                .get(&(pool, class))
                .copied()
                .unwrap_or(0.0);
            service.virtual_starts[class] = service.virtual_starts[class].max(virtual_time);
        }
        let weight = self.teams.weight(&tracked.request.team);
        service.queues[class].push(&tracked.queue_key, weight, id);
        self.pools_to_schedule.extend(service.pool);
        let timeout_ms = self.queue_timeout_ms(now_ms, id);
        self.queue_timeouts.set(id, timeout_ms);
    }

    pub(super) fn next_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    pub(super) fn is_lightly_loaded(in_flight: u32, slots: u32) -> bool {
        in_flight * LIGHT_LOAD_DIVISOR <= slots
    }

    /// Returns whether the rows close the service in every usable zone.
    pub(super) fn is_closed_everywhere(&self, service: usize) -> bool {
        let mut zones = self.zones_of(service).peekable();
        let load = &self.services[service];
        if zones.peek().is_none() {
            return load.is_closed(HOME_ZONE);
        }
        zones.all(|zone| load.is_closed(zone))
    }

    /// Returns the zones whose upstreams may serve the service, including those closed
    /// by a row.
    pub(super) fn zones_of(&self, service: usize) -> impl Iterator<Item = usize> + '_ {
        let n = self.upstreams.zones.len();
        (0..n).filter(move |&zone| {
            (self.is_fresh || zone == HOME_ZONE) && self.upstreams.has_members(service, zone)
        })
    }
}
