//! A control instance: a replica of the log, and while it leads, everything that a
//! leader decides.

mod applied;
mod calls;
mod carrying;
mod keeping;
mod lead;
mod leaderless;
mod log;
mod members;
mod orders;
mod pass;
mod renewals;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    Call, Carrier, Clock, Effect, Estimates, Event, PeerMessage, Policy, Relay, RelayStep, State,
    Timing,
};
use crate::consensus::{Input, Recovered, Replica, ReplicaSettings};
use crate::model::EntryName;
use lead::Lead;
use leaderless::Leaderless;

/// How long a call at a follower is held for a leader to answer it.
const CALL_PATIENCE_MS: u64 = 900;

/// How a control instance is set up.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Its own name.
    pub me: EntryName,
    /// The control instances named in the settings.
    pub seeds: Vec<EntryName>,
    /// Whether the whole system starts for the first time, with empty folders.
    pub first_start: bool,
    /// How many losses of a data folder must be borne.
    pub losses_borne: usize,
    /// Times of the deployment.
    pub timing: Timing,
    /// How it weighs what it decides while it leads.
    pub policy: Policy,
    /// Seeds the random numbers; must differ from start to start.
    pub seed: u64,
}

impl NodeSettings {
    /// The voters that bear the losses: a majority of them is left.
    fn voters_wanted(&self) -> usize {
        2 * self.losses_borne + 1
    }

    fn replica(&self) -> ReplicaSettings {
        ReplicaSettings {
            me: self.me.clone(),
            voters: if self.first_start {
                self.seeds.clone()
            } else {
                Vec::new()
            },
            peers: self.seeds.clone(),
            heartbeat_ms: HEARTBEAT_MS,
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            view_lease_ms: VIEW_LEASE_MS,
            snapshot_every: SNAPSHOT_EVERY,
            seed: self.seed,
        }
    }
}

/// Six fit into the shortest election timeout; nine processes take little notice.
const HEARTBEAT_MS: u64 = 75;
/// Shortest election timeout. Disks of up to 30 ms a sync and pauses of some 100 ms
/// must not cost a leader; a lost one is replaced within twice this.
pub const ELECTION_TIMEOUT_MS: u64 = 450;
/// How long a leader may answer reads after a quorum was heard: below the time after
/// which another may be elected.
const VIEW_LEASE_MS: u64 = 375;
/// Commands between snapshots: some 20 s of work at today's load, and a restart
/// replays them in about 0.1 s.
const SNAPSHOT_EVERY: u64 = 2_000;

/// Where a call came from.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Caller {
    /// A listener of this instance.
    Here(u64),
    /// Another instance.
    Peer(EntryName, u64),
}

/// A control instance's decisions.
pub struct Node {
    settings: NodeSettings,
    replica: Replica,
    state: State,
    applied_index: u64,
    clock: Clock,
    relay: Relay,
    rng: ChaCha8Rng,
    lead: Option<Box<Lead>>,
    /// What it carries out for its leader while it follows.
    carrier: Carrier,
    /// Control instances that said hello, and when.
    met: BTreeMap<EntryName, u64>,
    /// Entry instances that said hello, and when.
    clients: BTreeMap<EntryName, u64>,
    /// The leader that these were told of.
    announced: Option<EntryName>,
    hello_ms: u64,
    leaderless: Leaderless,
    /// When it looks next at which voters are away, if it leads.
    voters_ms: u64,
    stopping_since_ms: Option<u64>,
    /// What is known of run times where nothing is learnt.
    unlearnt: Estimates,
    looked: u64,
    out: Vec<Effect>,
}

impl Node {
    /// An instance that goes on from what its data folder remembers.
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
            lead: None,
            carrier: Carrier::default(),
            met: BTreeMap::new(),
            clients: BTreeMap::new(),
            announced: None,
            hello_ms: now_ms,
            leaderless: Leaderless::default(),
            voters_ms: now_ms,
            stopping_since_ms: None,
            unlearnt: Estimates::default(),
            looked: 0,
            out: Vec::new(),
        }
    }

    /// Takes an event and returns what to do, in this order.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Effect> {
        self.step_down_in_time(now_ms);
        match event {
            Event::Tick => self.tick(now_ms),
            Event::Peer { from, message } => self.peer(now_ms, from, *message),
            Event::Persisted { token } => self.log(now_ms, Input::Persisted { token }),
            Event::Call { id, call } => self.called(now_ms, Caller::Here(id), call),
            Event::Ordered { id, outcome } => self.worker_answered(now_ms, id, outcome),
            Event::MachineOrdered { id, outcome } => self.machine_ordered(now_ms, id, outcome),
            Event::MachinesListed { machines } => self.machines_listed(now_ms, machines),
            Event::Advised { id, allowed } => self.advised(now_ms, id, allowed),
            Event::Found { members } => {
                for member in members {
                    self.meet(now_ms, &member);
                }
            }
            Event::Stop => self.stop(now_ms),
        }
        self.follow_lead(now_ms);
        self.follow_carrying(now_ms);
        self.announce_leader(now_ms);
        self.flush(now_ms);
        self.send_orders(now_ms);
        std::mem::take(&mut self.out)
    }

    /// The replicated state as far as it is applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// What the leader's recurring looks walked over since the start: jobs, steps that
    /// wait, and each search for room. Their cost grows with it; what they do for each
    /// worker and its runs costs a small part of that and does not grow with the backlog.
    pub fn looked(&self) -> u64 {
        self.looked
    }

    /// Whether this instance leads with a quorum behind it.
    pub fn leads(&self, now_ms: u64) -> bool {
        self.lead.is_some() && self.replica.is_fresh(now_ms)
    }

    /// Compares the clock with the system's time of day.
    pub fn compare_clock(&mut self, now_ms: u64, unix_ms: u64) {
        self.clock.compare(now_ms, unix_ms);
    }

    /// Ends a lead without a quorum before anything is decided on it.
    ///
    /// A loop that is behind, or a process that stood still, comes to other events before
    /// its next tick. A start that it then sent again would extend its worker's lease, while
    /// a successor counts from its own beginning when all leases have run out: tasks would
    /// start elsewhere beside their runs. Nobody else is elected before this holds.
    fn step_down_in_time(&mut self, now_ms: u64) {
        if self.lead.is_some() && self.replica.lost_quorum(now_ms) {
            self.log(now_ms, Input::Tick);
            self.follow_lead(now_ms);
        }
    }

    fn tick(&mut self, now_ms: u64) {
        self.log(now_ms, Input::Tick);
        self.follow_lead(now_ms);
        // Before a new leader orders anything: what is thrown away here is not its own.
        self.follow_carrying(now_ms);
        self.greet(now_ms);
        self.tell_leaderless(now_ms);
        self.change_voters(now_ms);
        let steps = self.relay.tick(now_ms);
        self.relay_steps(steps);
        self.tick_lead(now_ms);
        self.tick_stop(now_ms);
    }

    fn peer(&mut self, now_ms: u64, from: EntryName, message: PeerMessage) {
        match message {
            PeerMessage::Log(message) => {
                self.meet(now_ms, &from);
                self.log(now_ms, Input::Message { from, message });
            }
            PeerMessage::Call { id, call } => {
                self.called(now_ms, Caller::Peer(from, id), call);
            }
            PeerMessage::Answer { id, answer } => {
                let steps = self.relay.answered(now_ms, id, answer);
                self.relay_steps(steps);
            }
            PeerMessage::Hello { has_folder } => self.hello(now_ms, from, has_folder),
            PeerMessage::Welcome { members, .. } => {
                for member in members {
                    self.meet(now_ms, &member);
                }
            }
            PeerMessage::Orders {
                term,
                heard,
                orders,
            } => self.orders_came(now_ms, &from, term, heard, orders),
            PeerMessage::Outcomes {
                term,
                outcomes,
                closing,
            } => self.outcomes_came(now_ms, &from, term, outcomes, closing),
        }
    }

    /// A call that this instance cannot answer is handed on, or sent back to the
    /// peer that handed it on.
    fn called(&mut self, now_ms: u64, caller: Caller, call: Call) {
        if self.leads(now_ms) && self.stopping_since_ms.is_none() {
            return self.answer_call(now_ms, caller, call);
        }
        match caller {
            Caller::Here(id) => {
                let leader = self.leader();
                if leader.is_some() && self.is_old_news(&call) {
                    return self.answer(&caller, super::Answer::Done);
                }
                let steps = self.relay.set_leader(now_ms, leader);
                self.relay_steps(steps);
                let steps = self.relay.open(now_ms, id, call, now_ms + CALL_PATIENCE_MS);
                self.relay_steps(steps);
            }
            Caller::Peer(..) => {
                let leader = self.leader();
                self.answer(&caller, super::Answer::NotLeader { leader });
            }
        }
    }

    /// Whether a call is a worker's report of what is replicated already.
    ///
    /// Almost all reports are. A follower answers them, so that of hundreds of
    /// workers' reports a second only the few that change something cost its leader
    /// anything: a tenth of its processor time with 350 workers, by a profile of the
    /// loaded process.
    fn is_old_news(&self, call: &Call) -> bool {
        matches!(call, Call::Report(report) if self.state.knows(report))
    }

    fn answer(&mut self, caller: &Caller, answer: super::Answer) {
        if let super::Answer::Refused(refusal) = &answer {
            let version = self.state.configuration().map(|c| c.version);
            tracing::info!(?caller, %refusal, version, "call: refused");
        }
        match caller {
            Caller::Here(id) => self.out.push(Effect::Answer { id: *id, answer }),
            Caller::Peer(to, id) => {
                self.send(to.clone(), PeerMessage::Answer { id: *id, answer });
            }
        }
    }

    fn relay_steps(&mut self, steps: Vec<RelayStep>) {
        for step in steps {
            match step {
                RelayStep::Send { to, id, call } => {
                    self.send(to, PeerMessage::Call { id, call });
                }
                RelayStep::Answer { id, answer } => self.out.push(Effect::Answer { id, answer }),
            }
        }
    }

    fn send(&mut self, to: EntryName, message: PeerMessage) {
        let message = Box::new(message);
        self.out.push(Effect::Send { to, message });
    }

    /// A planned stop: the lead goes to another voter at once, so that calls wait
    /// for an election of one round trip instead of a timeout.
    fn stop(&mut self, now_ms: u64) {
        if self.stopping_since_ms.is_none() {
            tracing::info!("control: planned stop begins");
            self.stopping_since_ms = Some(now_ms);
            self.close_carrier();
            self.log(now_ms, Input::Resign);
        }
    }

    fn tick_stop(&mut self, now_ms: u64) {
        let Some(since_ms) = self.stopping_since_ms else {
            return;
        };
        let over = now_ms >= since_ms + self.settings.timing.grace_ms / 2;
        let handed_over = now_ms >= since_ms + HAND_OVER_MS && self.relay.waiting() == 0;
        let due = over || handed_over;
        // The last outcomes need a moment to leave.
        let last = now_ms >= since_ms + self.settings.timing.grace_ms / 2 + LAST_OUTCOMES_MS;
        if due && (!self.give_up_carrying(now_ms) || last) {
            self.out.push(Effect::Stopped);
        }
    }

    fn draw_start(&mut self) -> u64 {
        self.rng.random()
    }
}

/// How long an instance that stops stays for the election of its successor.
const HAND_OVER_MS: u64 = 400;
/// How long beyond the time of its end it stays at most for outcomes of its leader's orders
/// to leave.
const LAST_OUTCOMES_MS: u64 = 100;
