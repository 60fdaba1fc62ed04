use super::{Answer, Call, PeerMessage, Relay, RelayStep};
use crate::model::EntryName;

/// How many control instances are asked at once for the leader, in turn.
const GREETED_MAX: usize = 3;
/// How often the leader is asked for a sign of life. Three fit into
/// [`HEARD_MS`], so that one lost message takes no instance out of rotation.
const HELLO_MS: u64 = 400;
/// Without a sign of life for this long the instance reports that it is not ready,
/// so that callers reach the leader by another one.
const HEARD_MS: u64 = 1_500;

/// How often the standby is greeted. The link stays open for longer without a word.
const STANDBY_HELLO_MS: u64 = 1_000;
/// Without a sign of life for this long, two greetings in a row were lost: this zone
/// may be cut off.
const UNHEARD_MS: u64 = 1_000;
/// How long a call then waits for the leader to come back. An election takes twice as
/// long, but another instance may know the winner.
const HOPE_MS: u64 = 800;

/// What an entry instance does: it hands callers' calls on to the leader, and
/// knows whether it could.
#[derive(Debug)]
pub struct Gateway {
    seeds: Vec<EntryName>,
    relay: Relay,
    heard_ms: Option<u64>,
    hello_ms: u64,
    /// The highest term that a leader was named in.
    term: u64,
    standby: Standby,
    /// Whose turn it is to be asked.
    turn: usize,
}

/// A control instance beside the leader that is greeted as well: it tells at once when
/// another one leads.
#[derive(Debug, Default)]
struct Standby {
    name: Option<EntryName>,
    heard_ms: u64,
    hello_ms: u64,
}

/// Everything that a [`Gateway`] wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEffect {
    /// Answer a call.
    Answer {
        /// Names the call.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// Send to a control instance.
    Send {
        /// Which.
        to: EntryName,
        /// What.
        message: PeerMessage,
    },
}

impl Gateway {
    /// One that knows these control instances. `turn` should differ from instance to instance,
    /// so that they do not all ask the same one.
    pub fn new(seeds: Vec<EntryName>, turn: usize) -> Self {
        let mut relay = Relay::default();
        relay.set_members(seeds.clone());
        Self {
            seeds,
            relay,
            heard_ms: None,
            hello_ms: 0,
            term: 0,
            standby: Standby::default(),
            turn,
        }
    }

    /// Knows of control instances named in changed settings.
    pub fn add_seeds(&mut self, seeds: Vec<EntryName>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
        self.relay.set_members(self.seeds.clone());
    }

    /// Whether the leader was heard lately.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        self.heard_ms.is_some_and(|at| now_ms < at + HEARD_MS)
    }

    /// How many calls wait for an answer.
    pub fn waiting(&self) -> usize {
        self.relay.waiting()
    }

    /// Takes a call, to be given up at `give_up_ms`.
    pub fn call(
        &mut self,
        now_ms: u64,
        id: u64,
        call: Call,
        give_up_ms: u64,
    ) -> Vec<GatewayEffect> {
        let steps = self.relay.open(now_ms, id, call, give_up_ms);
        steps.into_iter().map(effect).collect()
    }

    /// Takes a message from a control instance.
    pub fn message(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        message: PeerMessage,
    ) -> Vec<GatewayEffect> {
        let steps = match message {
            PeerMessage::Answer { id, answer } => self.relay.answered(now_ms, id, answer),
            PeerMessage::Welcome {
                leader,
                term,
                members,
            } => self.welcome(now_ms, from, leader, term, members),
            PeerMessage::Log(_)
            | PeerMessage::Call { .. }
            | PeerMessage::Hello { .. }
            | PeerMessage::Orders { .. }
            | PeerMessage::Outcomes { .. } => Vec::new(),
        };
        steps.into_iter().map(effect).collect()
    }

    fn welcome(
        &mut self,
        now_ms: u64,
        from: &EntryName,
        leader: Option<EntryName>,
        term: u64,
        mut members: Vec<EntryName>,
    ) -> Vec<RelayStep> {
        if leader.as_ref() == Some(from) {
            self.heard_ms = Some(now_ms);
        }
        if self.standby.name.as_ref() == Some(from) {
            self.standby.heard_ms = now_ms;
        }
        for seed in &self.seeds {
            if !members.contains(seed) {
                members.push(seed.clone());
            }
        }
        self.relay.set_members(members);
        let Some(named) = leader.as_ref().filter(|_| term >= self.term) else {
            // Someone who heard it long ago may name a leader that is over.
            return Vec::new();
        };
        if named != from && self.relay.is_denied(now_ms, named) {
            return Vec::new();
        }
        if term > self.term {
            self.hello_ms = now_ms;
        }
        self.term = term;
        self.relay.set_leader(now_ms, leader)
    }

    /// Asks for signs of life, sends calls again and gives up those that are over.
    pub fn tick(&mut self, now_ms: u64) -> Vec<GatewayEffect> {
        if self.heard_ms.is_some_and(|at| now_ms >= at + UNHEARD_MS) {
            let before_ms = now_ms.saturating_sub(HOPE_MS);
            self.relay.give_up_from_before(now_ms, before_ms);
        }
        let steps = self.relay.tick(now_ms);
        let mut effects: Vec<_> = steps.into_iter().map(effect).collect();
        if now_ms >= self.hello_ms {
            self.hello_ms = now_ms + HELLO_MS;
            let greeted = match self.relay.leader().filter(|_| self.is_ready(now_ms)) {
                Some(leader) => vec![leader.clone()],
                None => self.next_members(),
            };
            effects.extend(greeted.into_iter().map(hello));
        }
        effects.extend(self.greet_standby(now_ms).map(hello));
        effects
    }

    /// Those whose turn it is, of all that are known.
    fn next_members(&mut self) -> Vec<EntryName> {
        let members = self.relay.members();
        let count = members.len().min(GREETED_MAX);
        let turns = members
            .iter()
            .cycle()
            .skip(self.turn % members.len().max(1));
        let next = turns.take(count).cloned().collect();
        self.turn = self.turn.wrapping_add(count);
        next
    }

    /// The standby, if it is to be greeted now; another one if it was not heard.
    fn greet_standby(&mut self, now_ms: u64) -> Option<EntryName> {
        let leader = self
            .relay
            .leader()
            .filter(|_| self.is_ready(now_ms))?
            .clone();
        if now_ms < self.standby.hello_ms {
            return None;
        }
        let unheard = now_ms >= self.standby.heard_ms + HEARD_MS;
        let name = self
            .standby
            .name
            .take()
            .filter(|name| *name != leader && !unheard);
        let name = name.or_else(|| {
            self.standby.heard_ms = now_ms;
            let mut next = self.next_members();
            next.retain(|name| *name != leader);
            next.into_iter().next()
        });
        self.standby.name.clone_from(&name);
        self.standby.hello_ms = now_ms + STANDBY_HELLO_MS;
        name
    }
}

fn hello(to: EntryName) -> GatewayEffect {
    GatewayEffect::Send {
        to,
        message: PeerMessage::Hello { has_folder: false },
    }
}

fn effect(step: RelayStep) -> GatewayEffect {
    match step {
        RelayStep::Send { to, id, call } => GatewayEffect::Send {
            to,
            message: PeerMessage::Call { id, call },
        },
        RelayStep::Answer { id, answer } => GatewayEffect::Answer { id, answer },
    }
}
