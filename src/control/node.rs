//! A control instance: a replica of the log and, while it leads, the component that makes
//! all scheduling decisions.

mod advice;
mod advice_request;
mod advice_requests;
mod applied;
mod calls;
mod carried_orders;
mod held_calls;
mod leader_state;
mod leaderless;
mod log;
mod machines;
mod members;
mod occurrences;
mod orders;
mod pass;
mod peers;
mod preemptions;
mod renewals;
mod run_ends;
mod sent_order;
mod starts;
mod stops;
mod unrecorded_starts;
mod waiting_steps;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Borne, Call, Carrier, Clock, Decision, Effect, Estimates, Event, Location, PeerMessage, Policy,
    Relay, RelayAction, State, Timing, Tolerance,
};
use crate::consensus::{Input, Recovered, Replica, ReplicaSettings, VoterChange};
use crate::model::{EntryName, InstanceName};
use leader_state::LeaderState;
use leaderless::Leaderless;
use members::BetterLeader;
use peers::Peers;

/// How long a follower holds a call while it waits for a leader's answer.
const CALL_TIMEOUT_MS: u64 = 900;

/// Settings of a control instance.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The instance's own name.
    pub me: EntryName,
    /// The control instances that are named in the settings.
    pub seeds: Vec<EntryName>,
    /// Whether the whole system starts for the first time, with empty data folders.
    pub first_start: bool,
    /// Where the instance runs.
    pub location: Location,
    /// The losses that the control instances must survive.
    pub tolerance: Tolerance,
    /// Orders that the machine manager accepts in a second.
    pub machine_orders_per_s: f64,
    /// Timeouts and intervals of the deployment.
    pub timing: Timing,
    /// Weights and limits of the decisions that it makes while it leads.
    pub policy: Policy,
    /// Seed of the random numbers. It must differ from start to start.
    pub seed: u64,
}

impl NodeSettings {
    fn replica(&self) -> ReplicaSettings {
        ReplicaSettings {
            me: self.me.clone(),
            voters: if self.first_start {
                self.seeds.clone()
            } else {
                Vec::new()
            },
            peers: self.seeds.clone(),
            heartbeat_ms: HEARTBEAT_INTERVAL_MS,
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            view_lease_ms: READ_LEASE_MS,
            snapshot_every: SNAPSHOT_INTERVAL_COMMANDS,
            seed: self.seed,
        }
    }
}

/// Interval between heartbeats of the log. The shortest election timeout has room for six.
const HEARTBEAT_INTERVAL_MS: u64 = 75;
/// Shortest election timeout. Disk syncs of up to 30 ms and pauses of about 100 ms must not
/// cause an election. A lost leader is replaced within twice this time.
pub const ELECTION_TIMEOUT_MS: u64 = 450;
/// How long a leader may answer reads after it heard from a quorum. It is shorter than the
/// time after which another leader may be elected.
const READ_LEASE_MS: u64 = 375;
/// Log commands between two snapshots. They bound the time that a restart takes to replay them.
const SNAPSHOT_INTERVAL_COMMANDS: u64 = 2_000;

/// Where a call came in.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallOrigin {
    /// At a listener of this instance; the id of the call.
    Here(u64),
    /// At another instance, which forwarded it; the instance and its id of the call.
    Peer(EntryName, u64),
}

/// The decision logic of a control instance. It does no I/O: it takes events and returns
/// effects.
pub struct Node {
    settings: NodeSettings,
    replica: Replica,
    state: State,
    applied_index: u64,
    clock: Clock,
    relay: Relay,
    rng: ChaCha8Rng,
    leader_state: Option<Box<LeaderState>>,
    /// Calls of this instance's listeners of which an earlier leader may have accepted a copy.
    uncertain_calls: BTreeSet<u64>,
    /// Orders that this instance carries out for its leader while it is a follower.
    carrier: Carrier,
    /// The other control instances that greeted this one.
    peers: Peers,
    /// Time of the last hello of each entry instance.
    entries_heard: BTreeMap<EntryName, u64>,
    /// Start times of the workers that report to this instance, as last reported.
    worker_starts: BTreeMap<InstanceName, u64>,
    /// The leader that the entry instances were last told about.
    announced_leader: Option<EntryName>,
    next_hello_ms: u64,
    leaderless: Leaderless,
    /// When a leader next checks the voters.
    next_voter_check_ms: u64,
    /// The change of the voters that a leader planned last.
    planned_change: Option<VoterChange>,
    /// Which losses the voters survive, as last logged.
    logged_borne: Option<Borne>,
    better_leader: Option<BetterLeader>,
    stopping_since_ms: Option<u64>,
    /// Run time estimates that are used if the policy turns learning off.
    default_estimates: Estimates,
    visited: u64,
    /// Memory that all jobs may take, in bytes.
    job_limit_bytes: usize,
    out: Vec<Effect>,
}

impl Node {
    /// Returns the same instance with a limit on the memory that all jobs may take. While it
    /// leads, it refuses jobs beyond.
    pub fn with_job_limit(self, job_limit_bytes: usize) -> Self {
        Self {
            job_limit_bytes,
            ..self
        }
    }

    /// Creates an instance that resumes from the contents of its data folder.
    pub fn new(settings: NodeSettings, recovered: Recovered, unix_ms: u64, now_ms: u64) -> Self {
        let replica = Replica::new(settings.replica(), recovered, now_ms);
        let mut relay = Relay::default();
        let others = settings.seeds.iter().filter(|seed| **seed != settings.me);
        relay.set_members(others.cloned().collect());
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            replica,
            state: State::default(),
            applied_index: 0,
            clock: Clock::new(unix_ms, now_ms),
            relay,
            leader_state: None,
            uncertain_calls: BTreeSet::new(),
            carrier: Carrier::default(),
            peers: Peers::default(),
            entries_heard: BTreeMap::new(),
            worker_starts: BTreeMap::new(),
            announced_leader: None,
            next_hello_ms: now_ms,
            leaderless: Leaderless::default(),
            next_voter_check_ms: now_ms,
            planned_change: None,
            logged_borne: None,
            better_leader: None,
            stopping_since_ms: None,
            default_estimates: Estimates::default(),
            visited: 0,
            job_limit_bytes: usize::MAX,
            out: Vec::new(),
        }
    }

    /// Handles an event and returns the effects to carry out, in this order.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        self.step_down_without_quorum(now_ms);
        match event {
            Event::Tick => self.tick(now_ms),
            Event::Peer { from, message } => self.handle_peer_message(now_ms, from, *message),
            Event::DiskFull => self.out.push(Effect::Count(Decision::DiskFull)),
            Event::Persisted { token } => self.step_replica(now_ms, Input::Persisted { token }),
            Event::Call { id, call } => self.handle_call(now_ms, CallOrigin::Here(id), call),
            Event::Ordered { id, outcome } => self.handle_order_outcome(now_ms, id, outcome),
            Event::MachineOrdered { id, outcome } => self.finish_machine_order(now_ms, id, outcome),
            Event::MachinesListed { machines } => self.handle_machine_list(now_ms, machines),
            Event::Advised { id, allowed } => self.handle_advice(now_ms, id, allowed),
            Event::Found { members } => {
                for member in members {
                    self.add_peer(now_ms, &member);
                }
            }
            Event::Stop => self.begin_stop(now_ms),
        }
        self.sync_leadership(now_ms);
        self.sync_carrier(now_ms);
        self.announce_leader(now_ms);
        self.propose_pending(now_ms);
        self.send_carrier_orders(now_ms);
        std::mem::take(&mut self.out)
    }

    /// Returns the replicated state, up to the last entry that is applied on this instance.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns how many items the leader's periodic scans have visited since the start:
    /// jobs, waiting steps and each search for room. The cost of the scans grows with this
    /// number. The work for each worker and its runs is a small part of it and does not
    /// grow with the backlog.
    pub fn visited(&self) -> u64 {
        self.visited
    }

    /// Returns whether this instance leads with the support of a quorum.
    pub fn leads(&self, now_ms: u64) -> bool {
        self.leader_state.is_some() && self.replica.is_fresh(now_ms)
    }

    /// Compares the monotonic clock with the system's wall clock.
    pub fn compare_clock(&mut self, now_ms: u64, unix_ms: u64) {
        self.clock.compare(now_ms, unix_ms);
    }

    /// Ends the leadership if the quorum is lost, before any decision is made on it.
    ///
    /// A loop that is behind, or a process that was paused, handles other events before its
    /// next tick. If it sent a start again then, it would extend the worker's lease, while
    /// a successor counts from its own beginning when all leases have expired. Tasks would
    /// start elsewhere while their earlier runs still run. No other leader is elected
    /// before this condition holds.
    fn step_down_without_quorum(&mut self, now_ms: u64) {
        if self.leader_state.is_some() && self.replica.has_lost_quorum(now_ms) {
            self.step_replica(now_ms, Input::Tick);
            self.sync_leadership(now_ms);
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.step_replica(now_ms, Input::Tick);
        self.sync_leadership(now_ms);
        // This comes before a new leader orders anything, so that none of its own orders
        // are aborted.
        self.sync_carrier(now_ms);
        self.send_hellos(now_ms);
        self.log_leaderless(now_ms);
        self.adjust_voters(now_ms);
        let actions = self.relay.tick(now_ms);
        self.perform_relay_actions(actions);
        self.tick_lead(now_ms);
        self.tick_stop(now_ms);
    }

    fn handle_peer_message(&mut self, now_ms: u64, from: EntryName, message: PeerMessage) {
        match message {
            PeerMessage::Log(message) => {
                self.add_peer(now_ms, &from);
                self.step_replica(now_ms, Input::Message { from, message });
            }
            PeerMessage::Call { id, call } => {
                self.handle_call(now_ms, CallOrigin::Peer(from, id), call);
            }
            PeerMessage::Answer { id, answer } => {
                let actions = self.relay.handle_answer(now_ms, id, answer);
                self.perform_relay_actions(actions);
            }
            PeerMessage::Hello { has_folder } => self.handle_hello(now_ms, from, has_folder),
            PeerMessage::Presence(presence) => self.handle_presence(now_ms, from, presence),
            PeerMessage::Welcome { members, .. } => {
                for member in members {
                    self.add_peer(now_ms, &member);
                }
            }
            PeerMessage::Orders {
                term,
                heard,
                orders,
            } => self.handle_orders(now_ms, &from, term, heard, orders),
            PeerMessage::Outcomes {
                term,
                outcomes,
                closing,
            } => self.handle_outcomes(now_ms, &from, term, outcomes, closing),
        }
    }

    /// Answers a call, or forwards it to the leader if this instance does not lead. A call
    /// that a peer forwarded is sent back to that peer instead.
    fn handle_call(&mut self, now_ms: u64, caller: CallOrigin, call: Call) {
        if self.leads(now_ms) && self.stopping_since_ms.is_none() {
            return self.answer_call(now_ms, caller, call);
        }
        match caller {
            CallOrigin::Here(id) => {
                let leader = self.leader();
                let is_known = self.is_known_report(&call) && !self.is_new_start(&call);
                if leader.is_some() && is_known {
                    return self.answer(&caller, super::Answer::Done);
                }
                let actions = self.relay.set_leader(now_ms, leader);
                self.perform_relay_actions(actions);
                let call = call.for_peer();
                let actions = self
                    .relay
                    .add_call(now_ms, id, call, now_ms + CALL_TIMEOUT_MS);
                self.perform_relay_actions(actions);
            }
            CallOrigin::Peer(..) => {
                let leader = self.leader();
                self.answer(&caller, super::Answer::NotLeader { leader });
            }
        }
    }

    /// Returns whether a call is a worker's report whose content is already replicated.
    ///
    /// This is true of almost all reports. A follower answers them itself, so that only those
    /// that change something reach the leader.
    fn is_known_report(&self, call: &Call) -> bool {
        match call {
            Call::Report(report) => self.state.knows(report),
            Call::Since { call, .. } => self.is_known_report(call),
            _ => false,
        }
    }

    /// Returns whether a report shows that its worker has started again since its last report
    /// here, and remembers the start.
    fn is_new_start(&mut self, call: &Call) -> bool {
        let Call::Since {
            started_unix_ms,
            call,
        } = call
        else {
            return false;
        };
        let Call::Report(report) = &**call else {
            return false;
        };
        let known = self
            .worker_starts
            .entry(report.worker.clone())
            .or_insert(*started_unix_ms);
        let is_new = *known < *started_unix_ms;
        *known = (*known).max(*started_unix_ms);
        is_new
    }

    fn answer(&mut self, caller: &CallOrigin, answer: super::Answer) {
        if let super::Answer::Refused(refusal) = &answer {
            let version = self.state.configuration().map(|c| c.version);
            tracing::info!(?caller, %refusal, version, "call: refused");
        }
        match caller {
            CallOrigin::Here(id) => {
                let is_uncertain = self.uncertain_calls.remove(id);
                let answer = match answer {
                    super::Answer::Refused(_) if is_uncertain => super::Answer::Unknown,
                    answer => answer,
                };
                self.out.push(Effect::Answer { id: *id, answer });
            }
            CallOrigin::Peer(to, id) => {
                self.send(to.clone(), PeerMessage::Answer { id: *id, answer });
            }
        }
    }

    fn perform_relay_actions(&mut self, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send { to, id, call } => {
                    let call = match self.peers.understands_presence(&to) {
                        true => call,
                        // An instance of an earlier build knows no start times.
                        false => call.split_start().1,
                    };
                    self.send(to, PeerMessage::Call { id, call });
                }
                RelayAction::Answer { id, answer } => self.out.push(Effect::Answer { id, answer }),
            }
        }
    }

    fn send(&mut self, to: EntryName, message: PeerMessage) {
        let message = Box::new(message);
        self.out.push(Effect::Send { to, message });
    }

    /// Begins a planned stop. It hands the leadership to another voter at once, so that
    /// calls wait for an election of one round trip instead of an election timeout.
    fn begin_stop(&mut self, now_ms: u64) {
        if self.stopping_since_ms.is_none() {
            tracing::info!("control: planned stop begins");
            self.stopping_since_ms = Some(now_ms);
            self.close_carrier();
            self.step_replica(now_ms, Input::Resign);
        }
    }

    fn tick_stop(&mut self, now_ms: u64) {
        let Some(since_ms) = self.stopping_since_ms else {
            return;
        };
        let stop_due = now_ms >= since_ms + self.settings.timing.grace_ms / 2;
        let handed_over = now_ms >= since_ms + HANDOVER_WAIT_MS && self.relay.waiting() == 0;
        let due = stop_due || handed_over;
        // The last outcomes need a moment to be sent.
        let flush_over = now_ms >= since_ms + self.settings.timing.grace_ms / 2 + OUTCOME_FLUSH_MS;
        if due && (!self.abandon_carried_orders(now_ms) || flush_over) {
            self.out.push(Effect::Stopped);
        }
    }

    fn draw_start_id(&mut self) -> u64 {
        self.rng.random()
    }
}

/// How long a stopping instance waits for the election of its successor.
const HANDOVER_WAIT_MS: u64 = 400;
/// How long a stopping instance may stay beyond its stop time to send the outcomes of its
/// leader's orders.
const OUTCOME_FLUSH_MS: u64 = 100;
