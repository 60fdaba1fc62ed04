//! The state machine of one entry instance, without sockets, clock or disk.
//!
//! [`Node::handle`] passes each event to the submodule for its kind. Work that depends
//! only on time (timeouts, resends, gossip, the leader's duties) runs on
//! [`Event::Tick`].

use std::collections::{BTreeMap, BTreeSet};

use crate::consensus::{self, Recovered, Replica};
use crate::load::{self, AttemptId, Dispatcher, LoadSettings, RequestId};
use crate::model::{EntryName, InstanceName, RequestKey};
use crate::state::{Change, Fence, JobId, State};

use super::open::{OpenRequest, PendingStore};
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

use jobs::HeldJob;
use leader::Leader;
use operators::UnconfirmedChange;

/// How long a change that the system itself proposes is resent. After that it is
/// proposed again only if the current observations still call for it.
const SYSTEM_PROPOSAL_TIMEOUT_MS: u64 = 2_000;
/// How long the end of a claim or job is resent. An entry instance that is cut off for
/// longer has been declared lost by the leader, which settles its claims and jobs.
const COMPLETION_PROPOSAL_TIMEOUT_MS: u64 = 120_000;
/// How long an upstream that sends no reports is kept for `status`.
const UPSTREAM_RETENTION_MS: u64 = 600_000;
/// Time without any event after which this process is taken to have been paused: ticks
/// come every 20 ms.
const MIN_PROCESS_PAUSE_MS: u64 = 500;

/// The state machine of one entry instance: events in, effects out.
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
    /// Earliest time to propose an instance (or this entry instance) again.
    introduction_retry_ms: BTreeMap<InstanceName, u64>,
    peers: BTreeMap<EntryName, PeerState>,
    outbox: BTreeMap<EntryName, Vec<PeerMessage>>,
    last_gossip_ms: u64,
    proposals: Proposals<Purpose>,
    next_sequence: u64,
    next_request: u64,
    requests: BTreeMap<RequestId, OpenRequest>,
    calls: BTreeMap<CallId, RequestId>,
    pending_stores: BTreeMap<CallId, PendingStore>,
    waiters: Vec<Waiter>,
    /// Requests whose claim timed out before its reply.
    abandoned_claims: BTreeSet<RequestId>,
    held_jobs: Vec<HeldJob>,
    job_hold_since_ms: BTreeMap<JobId, u64>,
    /// Jobs assigned to this incarnation whose attempt was started, with its fencing
    /// token.
    started_jobs: BTreeMap<JobId, Fence>,
    attempts_sent: u64,
    attempt_instances: BTreeMap<(RequestId, AttemptId), InstanceName>,
    in_flight: BTreeMap<InstanceName, u32>,
    unsent_attempts: Vec<(RequestId, AttemptId)>,
    requested_checkpoints: BTreeSet<(RequestId, AttemptId)>,
    unconfirmed_changes: Vec<UnconfirmedChange>,
    leader: Option<Leader>,
    proposed_losses: BTreeMap<EntryName, u64>,
    counts: Counts,
    last_fresh_ms: u64,
    last_event_ms: u64,
    is_state_known: bool,
    stop_ms: Option<u64>,
    notice_over: bool,
    stopped: bool,
    health: Option<Health>,
}

/// What is waiting for the reply to a proposed command.
#[derive(Debug)]
enum Purpose {
    Operator(OperatorId),
    Claim(RequestId),
    Store(CallId),
    Accept(CallId),
    CancelJob(CallId),
    System,
}

/// A call waiting for the answer of another request with the same key.
#[derive(Debug)]
struct Waiter {
    id: CallId,
    key: RequestKey,
    due_ms: u64,
}

impl Node {
    /// Creates the node of an entry instance that starts. `recovered` is the log state
    /// read from its data folder; `unix_offset_ms` is added to `now_ms` to get Unix
    /// time.
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
            introduction_retry_ms: BTreeMap::new(),
            peers,
            outbox: BTreeMap::new(),
            last_gossip_ms: now_ms,
            proposals: Proposals::default(),
            next_sequence: 1,
            next_request: 1,
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            pending_stores: BTreeMap::new(),
            waiters: Vec::new(),
            abandoned_claims: BTreeSet::new(),
            held_jobs: Vec::new(),
            job_hold_since_ms: BTreeMap::new(),
            started_jobs: BTreeMap::new(),
            attempts_sent: 0,
            attempt_instances: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            unsent_attempts: Vec::new(),
            requested_checkpoints: BTreeSet::new(),
            unconfirmed_changes: Vec::new(),
            leader: None,
            proposed_losses: BTreeMap::new(),
            counts: Counts::default(),
            last_fresh_ms: now_ms,
            last_event_ms: now_ms,
            is_state_known: false,
            stop_ms: None,
            notice_over: false,
            stopped: false,
            health: None,
            settings,
        }
    }

    /// Processes one event and returns the effects to carry out, in order.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        let mut out = Vec::new();
        self.detect_pause(now_ms);
        match event {
            Event::Tick => self.tick(now_ms, &mut out),
            Event::Call { id, call } => self.handle_call(now_ms, id, call, &mut out),
            Event::CallerGone { id } => self.handle_caller_gone(now_ms, id, &mut out),
            Event::JobQuery { id, job } => self.answer_job_query(id, &job, &mut out),
            Event::JobCancel { id, job } => self.propose_job_cancel(now_ms, id, &job, &mut out),
            Event::Announced { id, report } => {
                self.handle_announcement(now_ms, id, &report, &mut out)
            }
            Event::AttemptEnded {
                request,
                attempt,
                run_us,
                end,
            } => {
                self.remove_attempt(request, attempt);
                self.attempt_ended(now_ms, request, attempt, run_us, end, &mut out);
            }
            Event::Peer { from, frame } => self.handle_peer_frame(now_ms, &from, frame, &mut out),
            Event::Persisted { token } => {
                self.drive_replica(now_ms, consensus::Input::Persisted { token }, &mut out);
            }
            Event::Operator { id, request } => {
                self.handle_operator_request(now_ms, id, request, &mut out)
            }
            Event::Stop => {
                self.stop_ms = self.stop_ms.or(Some(now_ms));
                self.drive_replica(now_ms, consensus::Input::Resign, &mut out);
            }
        }
        self.refuse_unsent_attempts(now_ms, &mut out);
        self.flush_outbox(now_ms, &mut out);
        self.advance_stop(now_ms, &mut out);
        out
    }

    fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.drive_replica(now_ms, consensus::Input::Tick, out);
        let log = self.replica.status(now_ms);
        let fresh = log.fresh;
        if fresh {
            self.last_fresh_ms = now_ms;
        }
        self.update_state_known(now_ms, &log);
        self.propose_own_start(now_ms, fresh, out);
        for command in self.proposals.due(now_ms) {
            self.propose(now_ms, &command, out);
        }
        self.expire_proposals(now_ms, out);
        self.detect_gone_peers(now_ms, out);
        if self.last_gossip_ms + self.settings.gossip_ms <= now_ms {
            self.queue_gossip(now_ms);
        }
        self.run_leader_duties(now_ms, out);
        self.drive_dispatcher(now_ms, load::Input::ViewFresh(fresh), out);
        self.drive_dispatcher(now_ms, load::Input::Tick, out);
        self.retry_held_jobs(now_ms, out);
        self.request_checkpoints(out);
        self.settle_waiters(now_ms, out);
        self.answer_overdue_stores(now_ms, out);
        self.answer_confirmed_changes(now_ms, out);
        self.directory.forget(now_ms, UPSTREAM_RETENTION_MS);
        self.publish_health(now_ms, out);
    }

    /// Detects that this process was paused, which says nothing about the leader. The
    /// pause is added to the time of the last news from the leader, so that the leader
    /// gets the usual time to be heard before calls are refused for lack of it.
    fn detect_pause(&mut self, now_ms: u64) {
        let pause_ms = now_ms.saturating_sub(self.last_event_ms);
        if pause_ms >= MIN_PROCESS_PAUSE_MS {
            tracing::warn!("entry: process was paused for {pause_ms} ms");
            self.last_fresh_ms += pause_ms;
        }
        self.last_event_ms = now_ms;
    }

    /// Calls are accepted once the pools are known: from the leader, or from the data
    /// folder if no leader is heard. Before that, every service would look unknown, and
    /// callers would be told not to retry.
    fn update_state_known(&mut self, now_ms: u64, log: &consensus::Status) {
        let is_caught_up =
            log.fresh && log.applied_index >= log.commit_index && log.commit_index > 0;
        let is_recovered = self.is_cut_off(now_ms) && self.applied_index > 0;
        self.is_state_known |= is_caught_up || is_recovered;
    }

    /// Proposes to record in the replicated state that this incarnation is up, which
    /// settles the claims and jobs of earlier incarnations.
    fn propose_own_start(&mut self, now_ms: u64, fresh: bool, out: &mut Vec<Effect>) {
        if !fresh || self.is_stopping() {
            return;
        }
        let known = self.state.entries().get(&self.settings.me);
        // The incarnation is made of the wall clock, which was set back before this
        // start. Commands proposed under a lower incarnation than an earlier one would
        // be ignored.
        if let Some(earlier) = known.map(|entry| entry.incarnation)
            && earlier > self.settings.incarnation
        {
            tracing::warn!(
                "entry: the wall clock was set back, continuing with the next incarnation"
            );
            self.settings.incarnation = earlier + 1;
        }
        let known = self.state.entries().get(&self.settings.me);
        let present = known.is_some_and(|entry| {
            entry.incarnation == self.settings.incarnation && !entry.lost && entry.zone.is_some()
        });
        let me = InstanceName::from(self.settings.me.as_str());
        let is_pending = self
            .introduction_retry_ms
            .get(&me)
            .is_some_and(|ms| *ms > now_ms);
        if present || is_pending {
            return;
        }
        self.introduction_retry_ms
            .insert(me, now_ms + SYSTEM_PROPOSAL_TIMEOUT_MS);
        let change = Change::EntrySeen {
            zone: self.settings.zone.clone(),
        };
        self.open_proposal(
            now_ms,
            change,
            Purpose::System,
            SYSTEM_PROPOSAL_TIMEOUT_MS,
            out,
        );
    }

    /// Reports attempts that could not be sent to the dispatcher as refused.
    fn refuse_unsent_attempts(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        while let Some((request, attempt)) = self.unsent_attempts.pop() {
            let input = load::Input::Refused {
                request,
                attempt,
                refusal: load::AttemptRefusal::ConnectFailed,
            };
            self.drive_dispatcher(now_ms, input, out);
        }
    }

    fn next_request(&mut self) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        id
    }
}
