use crate::control::{Answer, Call, PeerMessage, Refusal, Relay, RelayAction};
use crate::model::EntryName;

/// Maximum number of control instances that are asked for the leader at once, in
/// round-robin order.
const MAX_HELLO_TARGETS: usize = 3;
/// Interval between hellos to the leader. Two fit into [`LEADER_TIMEOUT_MS`], so that one
/// lost message does not take the instance out of rotation.
const HELLO_INTERVAL_MS: u64 = 400;
/// Time without an answer of the leader after which the instance reports that it is not
/// ready, so that callers use another instance. The balancer asks each second and acts on the
/// second report in a row, so an election seldom takes an instance out of rotation, and a zone
/// that is cut off gets no new callers soon.
const LEADER_TIMEOUT_MS: u64 = 1_000;

/// Interval between hellos to the backup peer. The link stays open for longer than this
/// without a message.
const BACKUP_HELLO_INTERVAL_MS: u64 = 1_000;
/// Time without an answer of the backup peer after which it is replaced.
const BACKUP_TIMEOUT_MS: u64 = 1_500;
/// Time without an answer of the leader after which two hellos in a row were lost. This
/// zone may be cut off.
const SUSPECT_LEADER_MS: u64 = 1_000;
/// Rounds of hellos without an answer from anybody after which this instance is cut off.
const CUT_OFF_ROUNDS: u32 = 3;
/// Rounds of hellos without an answer from a leader after which there is none in reach. An
/// election is over sooner.
const LEADERLESS_ROUNDS: u32 = 6;
/// When a call that is refused because no leader is in reach may be sent again. Other entry
/// instances may reach one, and most network partitions last longer.
const OUT_OF_REACH_RETRY_MS: u64 = 1_000;
/// Maximum age of a call while the leader may be cut off. An election takes twice as long,
/// but another entry instance may already know the winner.
const MAX_CALL_AGE_WITHOUT_LEADER_MS: u64 = 800;

/// The decision logic of an entry instance: forwards callers' calls to the leader and
/// tracks whether the leader can be reached.
#[derive(Debug)]
pub struct Gateway {
    seeds: Vec<EntryName>,
    relay: Relay,
    last_heard_ms: Option<u64>,
    next_hello_ms: u64,
    /// Rounds of hellos since anybody, and since a leader, answered.
    unanswered_rounds: u32,
    leaderless_rounds: u32,
    /// The highest term for which a leader was named.
    term: u64,
    backup: BackupPeer,
    /// Index of the control instance that is asked next.
    next_member: usize,
}

/// A control instance besides the leader that also receives hellos. It announces a new
/// leader at once.
#[derive(Debug, Default)]
struct BackupPeer {
    name: Option<EntryName>,
    last_heard_ms: u64,
    next_hello_ms: u64,
}

/// An effect that a [`Gateway`] requests from its owner.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEffect {
    /// Answer a call.
    Answer {
        /// The id of the call.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// Send a message to a control instance.
    Send {
        /// The receiver.
        to: EntryName,
        /// The message.
        message: PeerMessage,
    },
}

impl Gateway {
    /// Creates a gateway that knows these control instances. `next_member` should differ
    /// from instance to instance, so that they do not all ask the same one first.
    pub fn new(seeds: Vec<EntryName>, next_member: usize) -> Self {
        let mut relay = Relay::default();
        relay.set_members(seeds.clone());
        Self {
            seeds,
            relay,
            last_heard_ms: None,
            next_hello_ms: 0,
            unanswered_rounds: 0,
            leaderless_rounds: 0,
            term: 0,
            backup: BackupPeer::default(),
            next_member,
        }
    }

    /// Adds the control instances that are named in changed settings.
    pub fn add_seeds(&mut self, seeds: Vec<EntryName>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
        self.relay.set_members(self.seeds.clone());
    }

    /// Returns whether the leader was heard recently.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        let heard = self.last_heard_ms;
        heard.is_some_and(|at| now_ms < at + LEADER_TIMEOUT_MS) && !self.is_out_of_reach()
    }

    /// Returns whether no leader is in reach and none is about to be elected: nobody answers
    /// this instance, or those that do have named no leader for longer than an election takes.
    fn is_out_of_reach(&self) -> bool {
        self.unanswered_rounds >= CUT_OFF_ROUNDS || self.leaderless_rounds >= LEADERLESS_ROUNDS
    }

    /// Returns the number of calls that await an answer.
    pub fn waiting(&self) -> usize {
        self.relay.waiting()
    }

    /// Adds a call, to be given up at `give_up_ms`. It is refused at once if no leader is in
    /// reach: it would only wait, and once it was sent its caller could not be told that it
    /// has not run.
    pub fn add_call(
        &mut self,
        now_ms: u64,
        id: u64,
        call: Call,
        give_up_ms: u64,
    ) -> Vec<GatewayEffect> {
        if self.is_out_of_reach() {
            let answer = Answer::Refused(Refusal::Busy {
                retry_after_ms: OUT_OF_REACH_RETRY_MS,
            });
            return vec![GatewayEffect::Answer { id, answer }];
        }
        let actions = self.relay.add_call(now_ms, id, call, give_up_ms);
        actions.into_iter().map(effect_from).collect()
    }

    /// Gives up calls whose callers have left, as far as nobody else relies on them.
    pub fn abandon(&mut self, left: &[u64]) -> Vec<GatewayEffect> {
        let actions = left.iter().filter_map(|id| self.relay.abandon(*id));
        actions.map(effect_from).collect()
    }

    /// Handles a message from a control instance.
    pub fn handle_message(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        message: PeerMessage,
    ) -> Vec<GatewayEffect> {
        let actions = match message {
            PeerMessage::Answer { id, answer } => self.relay.handle_answer(now_ms, id, answer),
            PeerMessage::Welcome {
                leader,
                term,
                members,
            } => self.handle_welcome(now_ms, from, leader, term, members),
            PeerMessage::Log(_)
            | PeerMessage::Call { .. }
            | PeerMessage::Hello { .. }
            | PeerMessage::Presence(_)
            | PeerMessage::Orders { .. }
            | PeerMessage::Outcomes { .. } => Vec::new(),
        };
        actions.into_iter().map(effect_from).collect()
    }

    fn handle_welcome(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        leader: Option<EntryName>,
        term: u64,
        mut members: Vec<EntryName>,
    ) -> Vec<RelayAction> {
        self.unanswered_rounds = 0;
        if leader.as_ref() == Some(from) {
            self.last_heard_ms = Some(now_ms);
            self.leaderless_rounds = 0;
        }
        if self.backup.name.as_ref() == Some(from) {
            self.backup.last_heard_ms = now_ms;
        }
        for seed in &self.seeds {
            if !members.contains(seed) {
                members.push(seed.clone());
            }
        }
        self.relay.set_members(members);
        let Some(named) = leader.as_ref().filter(|_| term >= self.term) else {
            // The sender may have stale information and name an earlier leader.
            return Vec::new();
        };
        if named != from && self.relay.is_recent_non_leader(now_ms, named) {
            return Vec::new();
        }
        if term > self.term {
            self.next_hello_ms = now_ms;
        }
        self.term = term;
        self.relay.set_leader(now_ms, leader)
    }

    /// Sends hellos that are due, resends calls, and gives up those whose time is over.
    pub fn tick(&mut self, now_ms: u64) -> Vec<GatewayEffect> {
        if self
            .last_heard_ms
            .is_some_and(|at| now_ms >= at + SUSPECT_LEADER_MS)
        {
            let before_ms = now_ms.saturating_sub(MAX_CALL_AGE_WITHOUT_LEADER_MS);
            self.relay.give_up_older_than(now_ms, before_ms);
        }
        let actions = self.relay.tick(now_ms);
        let mut effects: Vec<_> = actions.into_iter().map(effect_from).collect();
        if now_ms >= self.next_hello_ms {
            self.next_hello_ms = now_ms + HELLO_INTERVAL_MS;
            self.unanswered_rounds = self.unanswered_rounds.saturating_add(1);
            self.leaderless_rounds = self.leaderless_rounds.saturating_add(1);
            let targets = match self.relay.leader().filter(|_| self.is_ready(now_ms)) {
                Some(leader) => vec![leader.clone()],
                None => self.next_members(),
            };
            effects.extend(targets.into_iter().map(hello));
        }
        effects.extend(self.next_backup_hello(now_ms).map(hello));
        effects
    }

    /// Returns the next control instances in round-robin order.
    fn next_members(&mut self) -> Vec<EntryName> {
        let members = self.relay.members();
        let count = members.len().min(MAX_HELLO_TARGETS);
        let rotation = members
            .iter()
            .cycle()
            .skip(self.next_member % members.len().max(1));
        let next = rotation.take(count).cloned().collect();
        self.next_member = self.next_member.wrapping_add(count);
        next
    }

    /// Returns the backup peer if its hello is due. A backup that was not heard is replaced
    /// by another instance.
    fn next_backup_hello(&mut self, now_ms: u64) -> Option<EntryName> {
        let leader = self
            .relay
            .leader()
            .filter(|_| self.is_ready(now_ms))?
            .clone();
        if now_ms < self.backup.next_hello_ms {
            return None;
        }
        let is_silent = now_ms >= self.backup.last_heard_ms + BACKUP_TIMEOUT_MS;
        let name = self
            .backup
            .name
            .take()
            .filter(|name| *name != leader && !is_silent);
        let name = name.or_else(|| {
            self.backup.last_heard_ms = now_ms;
            let mut next = self.next_members();
            next.retain(|name| *name != leader);
            next.into_iter().next()
        });
        self.backup.name.clone_from(&name);
        self.backup.next_hello_ms = now_ms + BACKUP_HELLO_INTERVAL_MS;
        name
    }
}

fn hello(to: EntryName) -> GatewayEffect {
    GatewayEffect::Send {
        to,
        message: PeerMessage::Hello { has_folder: false },
    }
}

fn effect_from(action: RelayAction) -> GatewayEffect {
    match action {
        RelayAction::Send { to, id, call } => GatewayEffect::Send {
            to,
            message: PeerMessage::Call { id, call },
        },
        RelayAction::Answer { id, answer } => GatewayEffect::Answer { id, answer },
    }
}
