//! A whole entry instance without its edges, and the order in which it looks at
//! what has come and what is due.
//!
//! Each event goes to the module of its kind; what time alone brings about is done
//! at ticks.

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::{self, Recovered, Replica};
use crate::load::{self, AttemptId, Dispatcher, LoadSettings, RequestId};
use crate::model::{EntryName, InstanceName, RequestKey};
use crate::state::{Change, Fence, JobId, State};

use super::open::{Open, Storing};
use super::peer_state::PeerState;
use super::proposals::Proposals;
use super::{CallId, Counts, Directory, Effect, Event, Health, OperatorId, PeerMessage};

mod acceptance;
mod answers;
mod attempts;
mod callers;
mod claims;
mod jobs;
mod leader;
mod log;
mod operators;
mod peers;
mod settings;
mod status;
mod stop;
mod upstreams;

pub use settings::NodeSettings;

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
    /// Requests whose claim was given up before its reply.
    claims_given_up: BTreeSet<RequestId>,
    held: Vec<Held>,
    hold_since: BTreeMap<JobId, u64>,
    /// Jobs given to this start whose attempt was begun, by the fence it has.
    jobs_begun: BTreeMap<JobId, Fence>,
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
            claims_given_up: BTreeSet::new(),
            held: Vec::new(),
            hold_since: BTreeMap::new(),
            jobs_begun: BTreeMap::new(),
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
        // The wall clock was set back before this start: under a lower number than
        // an earlier start's, nothing proposed here would ever count.
        if let Some(earlier) = known.map(|entry| entry.incarnation)
            && earlier > self.settings.incarnation
        {
            tracing::warn!("entry: the clock was set back, this start is counted on");
            self.settings.incarnation = earlier + 1;
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
}
