use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::{self, Recovered, Replica, ReplicaSettings};
use crate::load::{self, AttemptId, Dispatcher, LoadSettings, RequestId};
use crate::maintenance::ControllerSettings;
use crate::model::{EntryName, InstanceName, RequestKey, ZoneName};
use crate::state::{Change, JobId, State};

use super::open::{Open, Storing};
use super::peer_state::PeerState;
use super::proposals::Proposals;
use super::{
    CallId, Counts, Directory, Effect, EntryStatus, Event, Health, OperatorId, PeerMessage,
    PeerStatus, PoolStatus,
};

mod attempts;
mod callers;
mod jobs;
mod leader;
mod log;
mod operators;
mod peers;
mod upstreams;

use jobs::Held;
use leader::Leader;
use operators::Forcing;

/// How long the system's own changes are tried; they are proposed anew from what
/// is seen then.
const SYSTEM_PATIENCE_MS: u64 = 2_000;
/// How long the end of a claim or a job is tried. Past it this entry instance
/// has been cut off for so long that the leader has settled it.
const LONG_PATIENCE_MS: u64 = 120_000;
/// How long an upstream that is not heard is remembered, for `status`.
const FORGET_MS: u64 = 600_000;
/// Time without any event after which this process must have stood still: ticks
/// come every 20 ms.
const PAUSE_MS: u64 = 500;
/// How long the log may be without a leader before what needs it is refused at
/// once: longer than an election, so that one does not turn requests away.
const CUT_OFF_AFTER_MS: u64 = 2_000;

/// What an entry instance is told at its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its name.
    pub me: EntryName,
    /// Counts its starts; any number that never comes again for this name.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: ZoneName,
    /// All entry instances of the system, this one included, with their zones.
    pub members: BTreeMap<EntryName, ZoneName>,
    /// The entry instances that vote when the cluster is founded.
    pub voters: Vec<EntryName>,
    /// How long an upstream's report counts.
    pub upstream_lease_ms: u64,
    /// How often an upstream reports.
    pub refresh_ms: u64,
    /// How often peers hear of upstreams and load.
    pub gossip_ms: u64,
    /// After what silence a peer counts as gone.
    pub peer_gone_ms: u64,
    /// How often the log's leader shows that it is alive.
    pub heartbeat_ms: u64,
    /// How long without a leader before an election.
    pub election_timeout_ms: u64,
    /// How long news from the leader count as recent.
    pub view_lease_ms: u64,
    /// Entries between snapshots.
    pub snapshot_every: u64,
    /// How long calls are still taken after a planned stop began, so that the
    /// balancer learns of it before it meets refusals.
    pub stop_notice_ms: u64,
    /// Longest time a planned stop waits for what is in flight.
    pub stop_grace_ms: u64,
    /// Seeds random choices; must differ from start to start.
    pub seed: u64,
}

impl Default for NodeSettings {
    /// For zones a millisecond apart; names and members are left empty.
    fn default() -> Self {
        Self {
            me: EntryName::from("entry"),
            incarnation: 1,
            zone: ZoneName::from("zone"),
            members: BTreeMap::new(),
            voters: Vec::new(),
            upstream_lease_ms: 3_000,
            refresh_ms: 1_000,
            // Five times a report's period: news of load are late by it.
            gossip_ms: 200,
            // Ten times the period of gossip.
            peer_gone_ms: 2_000,
            heartbeat_ms: 100,
            election_timeout_ms: 600,
            // Ends before another leader can be elected: under 0.9 of the election
            // timeout, as clocks may run apart by a tenth.
            view_lease_ms: 500,
            snapshot_every: 4_096,
            // A balancer that looks every half second has seen it by then.
            stop_notice_ms: 1_000,
            stop_grace_ms: 20_000,
            seed: 0,
        }
    }
}

impl NodeSettings {
    fn replica(&self) -> ReplicaSettings {
        ReplicaSettings {
            me: self.me.clone(),
            voters: self.voters.clone(),
            peers: self
                .members
                .keys()
                .filter(|name| **name != self.me)
                .cloned()
                .collect(),
            heartbeat_ms: self.heartbeat_ms,
            election_timeout_ms: self.election_timeout_ms,
            view_lease_ms: self.view_lease_ms,
            snapshot_every: self.snapshot_every,
            seed: self.seed,
        }
    }

    fn controller(&self) -> ControllerSettings {
        ControllerSettings {
            dispatch_lease_ms: self.upstream_lease_ms,
            ..ControllerSettings::default()
        }
    }
}

/// A whole entry instance without its edges.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    started_ms: u64,
    unix_offset_ms: u64,
    replica: Replica,
    state: State,
    applied_index: u64,
    dispatcher: Dispatcher,
    directory: Directory,
    introduced: BTreeMap<InstanceName, u64>,
    peers: BTreeMap<EntryName, PeerState>,
    outbox: BTreeMap<EntryName, Vec<PeerMessage>>,
    last_gossip_ms: u64,
    proposals: Proposals<Purpose>,
    next_sequence: u64,
    next_request: u64,
    requests: BTreeMap<RequestId, Open>,
    calls: BTreeMap<CallId, RequestId>,
    storing: BTreeMap<CallId, Storing>,
    waiters: Vec<Waiter>,
    released: BTreeSet<RequestId>,
    held: Vec<Held>,
    hold_since: BTreeMap<JobId, u64>,
    attempts: u64,
    attempts_on: BTreeMap<(RequestId, AttemptId), InstanceName>,
    in_flight: BTreeMap<InstanceName, u32>,
    refused_here: Vec<(RequestId, AttemptId)>,
    checkpoints_asked: BTreeSet<(RequestId, AttemptId)>,
    forcing: Vec<Forcing>,
    leader: Option<Leader>,
    lost_proposed: BTreeMap<EntryName, u64>,
    counts: Counts,
    fresh_ms: u64,
    handled_ms: u64,
    knows_state: bool,
    stop_ms: Option<u64>,
    notice_over: bool,
    stopped: bool,
    health: Option<Health>,
}

/// Why a command was proposed.
#[derive(Debug)]
enum Purpose {
    Operator(OperatorId),
    Claim(RequestId),
    Store(CallId),
    Accept(CallId),
    CancelJob(CallId),
    System,
}

/// A call that waits for the answer of the request that holds its key.
#[derive(Debug)]
struct Waiter {
    id: CallId,
    key: RequestKey,
    due_ms: u64,
}

impl Node {
    /// An entry instance at its start. `recovered` is what its data folder
    /// remembers; `unix_offset_ms` turns its clock into Unix time.
    pub fn new(
        settings: NodeSettings,
        recovered: Recovered,
        unix_offset_ms: u64,
        now_ms: u64,
    ) -> Self {
        let peers = settings
            .members
            .keys()
            .filter(|name| **name != settings.me)
            .map(|name| (name.clone(), PeerState::default()))
            .collect();
        let load = LoadSettings {
            home: settings.zone.clone(),
            me: settings.me.clone(),
            seed: settings.seed,
        };
        Self {
            started_ms: now_ms,
            unix_offset_ms,
            replica: Replica::new(settings.replica(), recovered, now_ms),
            state: State::default(),
            applied_index: 0,
            dispatcher: Dispatcher::new(load, now_ms),
            directory: Directory::default(),
            introduced: BTreeMap::new(),
            peers,
            outbox: BTreeMap::new(),
            last_gossip_ms: now_ms,
            proposals: Proposals::default(),
            next_sequence: 1,
            next_request: 1,
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            storing: BTreeMap::new(),
            waiters: Vec::new(),
            released: BTreeSet::new(),
            held: Vec::new(),
            hold_since: BTreeMap::new(),
            attempts: 0,
            attempts_on: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            refused_here: Vec::new(),
            checkpoints_asked: BTreeSet::new(),
            forcing: Vec::new(),
            leader: None,
            lost_proposed: BTreeMap::new(),
            counts: Counts::default(),
            fresh_ms: now_ms,
            handled_ms: now_ms,
            knows_state: false,
            stop_ms: None,
            notice_over: false,
            stopped: false,
            health: None,
            settings,
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.note_pause(now_ms);
        match event {
            Event::Tick => self.tick(now_ms, &mut out),
            Event::Call { id, call } => self.call(now_ms, id, call, &mut out),
            Event::CallerGone { id } => self.caller_gone(now_ms, id, &mut out),
            Event::JobQuery { id, job } => self.job_query(id, &job, &mut out),
            Event::JobCancel { id, job } => self.job_cancel(now_ms, id, &job, &mut out),
            Event::Announced { id, report } => self.announced(now_ms, id, &report, &mut out),
            Event::AttemptEnded {
                request,
                attempt,
                run_us,
                end,
            } => {
                self.settle_attempt(request, attempt);
                self.attempt_ended(now_ms, request, attempt, run_us, end, &mut out);
            }
            Event::Peer { from, frame } => self.peer(now_ms, &from, frame, &mut out),
            Event::Persisted { token } => {
                self.log(now_ms, consensus::Input::Persisted { token }, &mut out);
            }
            Event::Operator { id, request } => self.operator(now_ms, id, request, &mut out),
            Event::Stop => {
                self.stop_ms = self.stop_ms.or(Some(now_ms));
                self.log(now_ms, consensus::Input::Resign, &mut out);
            }
        }
        self.give_back_refused(now_ms, &mut out);
        self.flush(now_ms, &mut out);
        self.end_stop(now_ms, &mut out);
        out
    }

    fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.log(now_ms, consensus::Input::Tick, out);
        let log = self.replica.status(now_ms);
        let fresh = log.fresh;
        if fresh {
            self.fresh_ms = now_ms;
        }
        self.note_state(now_ms, &log);
        self.introduce_self(now_ms, fresh, out);
        for command in self.proposals.due(now_ms) {
            self.propose(now_ms, &command, out);
        }
        self.given_up(now_ms, out);
        self.note_gone_peers(now_ms, out);
        if self.last_gossip_ms + self.settings.gossip_ms <= now_ms {
            self.gossip(now_ms);
        }
        self.lead(now_ms, out);
        self.load(now_ms, load::Input::ViewFresh(fresh), out);
        self.load(now_ms, load::Input::Tick, out);
        self.retry_held(now_ms, out);
        self.ask_for_checkpoints(out);
        self.settle_waiters(now_ms, out);
        self.answer_overdue_stores(now_ms, out);
        self.settle_force(now_ms, out);
        self.directory.forget(now_ms, FORGET_MS);
        self.show_health(now_ms, out);
    }

    /// A pause of this process is no silence of the leader: after one the leader
    /// gets as long as ever to be heard before calls are refused for want of it.
    fn note_pause(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.handled_ms);
        if pause_ms >= PAUSE_MS {
            tracing::warn!("entry: stood still for {pause_ms} ms");
            self.fresh_ms += pause_ms;
        }
        self.handled_ms = now_ms;
    }

    /// Calls are taken once the pools are known: from the leader, or from the
    /// data folder if no leader is heard. Before, every service would look
    /// unknown, and callers would be told never to come back.
    fn note_state(&mut self, now_ms: u64, log: &consensus::Status) {
        let told = log.fresh && log.applied_index >= log.commit_index && log.commit_index > 0;
        let remembered = self.is_cut_off(now_ms) && self.applied_index > 0;
        self.knows_state |= told || remembered;
    }

    /// Says in the replicated state that this start is up, which settles what an
    /// earlier start left behind.
    fn introduce_self(&mut self, now_ms: u64, fresh: bool, out: &mut Vec<Effect>) {
        if !fresh || self.is_stopping() {
            return;
        }
        let known = self.state.entries().get(&self.settings.me);
        let present = known.is_some_and(|entry| {
            entry.incarnation == self.settings.incarnation && !entry.lost && entry.zone.is_some()
        });
        let me = InstanceName::from(self.settings.me.as_str());
        let waits = self.introduced.get(&me).is_some_and(|ms| *ms > now_ms);
        if present || waits {
            return;
        }
        self.introduced.insert(me, now_ms + SYSTEM_PATIENCE_MS);
        let change = Change::EntrySeen {
            zone: self.settings.zone.clone(),
        };
        self.open_proposal(now_ms, change, Purpose::System, SYSTEM_PATIENCE_MS, out);
    }

    /// Tells the dispatcher of attempts that could not even be sent.
    fn give_back_refused(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        while let Some((request, attempt)) = self.refused_here.pop() {
            let input = load::Input::Refused {
                request,
                attempt,
                refusal: load::AttemptRefusal::ConnectFailed,
            };
            self.load(now_ms, input, out);
        }
    }

    fn next_request(&mut self) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        id
    }

    // A planned stop.

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_ms.is_some()
    }

    /// Whether the notice of a planned stop is over.
    fn refuses_new(&self) -> bool {
        self.notice_over
    }

    fn end_stop(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(since_ms) = self.stop_ms else {
            return;
        };
        if self.stopped || now_ms < since_ms + self.settings.stop_notice_ms {
            return;
        }
        if !self.notice_over {
            self.notice_over = true;
            out.push(Effect::CloseCallers);
        }
        let idle = self.requests.is_empty()
            && self.storing.is_empty()
            && self.waiters.is_empty()
            && self.held.is_empty()
            && self.proposals.is_empty();
        if idle || now_ms >= since_ms + self.settings.stop_grace_ms {
            self.stopped = true;
            out.push(Effect::Stopped);
        }
    }

    // What is shown.

    /// Whether the log has been without a leader for long.
    fn is_cut_off(&self, now_ms: u64) -> bool {
        self.fresh_ms + CUT_OFF_AFTER_MS < now_ms
    }

    fn show_health(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let health = self.health(now_ms);
        if self.health != Some(health) {
            tracing::info!("entry: {} is {health}", self.settings.me);
            self.health = Some(health);
            out.push(Effect::Health(health));
        }
    }

    fn health(&self, now_ms: u64) -> Health {
        if self.is_stopping() {
            Health::Draining
        } else if !self.knows_state {
            Health::Starting
        } else if self.is_cut_off(now_ms) {
            Health::CutOff
        } else {
            Health::Ready
        }
    }

    /// Whom a draining instance waits for, as far as this entry instance knows.
    fn waits_for(&self, instance: &InstanceName) -> Vec<String> {
        let own = self.in_flight.get(instance).copied();
        let mine = own.map(|n| format!("{}: {n} in flight", self.settings.me));
        let peers = self.peers.iter().filter_map(|(name, peer)| {
            if peer.gone {
                return Some(format!("{name}: silent"));
            }
            let count = peer.in_flight.get(instance)?;
            Some(format!("{name}: {count} in flight"))
        });
        mine.into_iter().chain(peers).collect()
    }

    /// How the system is, as this entry instance sees it.
    pub fn status(&self, now_ms: u64) -> EntryStatus {
        let lease_ms = self.settings.upstream_lease_ms;
        let alive = |heard_ms: u64| heard_ms + lease_ms > now_ms;
        let load = self.dispatcher.status(now_ms);
        let mut status = EntryStatus {
            entry: self.settings.me.clone(),
            zone: self.settings.zone.clone(),
            health: self.health(now_ms),
            up_ms: now_ms.saturating_sub(self.started_ms),
            log: self.replica.status(now_ms),
            applied_index: self.applied_index,
            row_versions: self.state.rows().values().map(|row| row.version).sum(),
            peers: BTreeMap::new(),
            pools: BTreeMap::new(),
            upstreams: self
                .directory
                .iter()
                .filter(|(_, known)| alive(known.heard_ms))
                .count(),
            instances: self.state.fleet().instances().len(),
            open_requests: self.requests.len(),
            in_flight: self.attempts_on.len(),
            attempts: self.attempts,
            open_proposals: self.proposals.len(),
            outcomes: self.counts.clone(),
            waiting: BTreeMap::new(),
            wait_ms: BTreeMap::new(),
            retries: load
                .retries
                .iter()
                .map(|(reason, count)| (reason.to_string(), *count))
                .collect(),
            usage: self.state.usage(),
        };
        self.show_queues(&load, &mut status);
        self.show_peers(now_ms, &mut status);
        self.show_pools(&mut status);
        status
    }

    fn show_queues(&self, load: &load::LoadStatus, status: &mut EntryStatus) {
        for service in &load.services {
            for (class, queue) in [("urgent", &service.urgent), ("patient", &service.patient)] {
                *status.waiting.entry(class.into()).or_default() += queue.waiting;
                let wait = status.wait_ms.entry(class.into()).or_default();
                *wait = (*wait).max(queue.wait_ms as u64);
            }
        }
    }

    fn show_peers(&self, now_ms: u64, status: &mut EntryStatus) {
        for (name, peer) in &self.peers {
            let shown = PeerStatus {
                heard: !peer.gone && peer.heard_ms.is_some(),
                silent_ms: peer.silent_ms(now_ms),
                applied_index: peer.applied_index,
                behind: self.applied_index.saturating_sub(peer.applied_index),
            };
            status.peers.insert(name.clone(), shown);
        }
    }

    fn show_pools(&self, status: &mut EntryStatus) {
        let fleet = self.state.fleet();
        for pool in fleet.pools().values() {
            let serving = fleet.budget_use(&pool.name).map_or(0, |used| used.serving);
            let shown = PoolStatus {
                min_available: pool.budget.min_available,
                serving,
                budget_use: self.budget_use(&pool.name),
            };
            status.pools.insert(pool.name.clone(), shown);
        }
    }
}
