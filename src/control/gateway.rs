use super::{Answer, Call, PeerMessage, Relay, RelayStep};
use crate::model::EntryName;

/// How often the leader is asked for a sign of life. Three fit into
/// [`HEARD_MS`], so that one lost message takes no instance out of rotation.
const HELLO_MS: u64 = 400;
/// Without a sign of life for this long the instance reports that it is not ready,
/// so that callers reach the leader by another one.
const HEARD_MS: u64 = 1_500;

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
    /// One that knows these control instances.
    pub fn new(seeds: Vec<EntryName>) -> Self {
        let mut relay = Relay::default();
        relay.set_members(seeds.clone());
        Self {
            seeds,
            relay,
            heard_ms: None,
            hello_ms: 0,
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
            PeerMessage::Welcome { leader, members } => self.welcome(now_ms, from, leader, members),
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
        mut members: Vec<EntryName>,
    ) -> Vec<RelayStep> {
        if leader.as_ref() == Some(from) {
            self.heard_ms = Some(now_ms);
        }
        for seed in &self.seeds {
            if !members.contains(seed) {
                members.push(seed.clone());
            }
        }
        self.relay.set_members(members);
        match leader {
            // Someone who heard it long ago may name a leader that is over.
            Some(_) if leader.as_ref() != Some(from) && self.is_ready(now_ms) => Vec::new(),
            Some(_) => self.relay.set_leader(now_ms, leader),
            None => Vec::new(),
        }
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
            let hello = |to: &EntryName| GatewayEffect::Send {
                to: to.clone(),
                message: PeerMessage::Hello { has_folder: false },
            };
            match self.relay.leader().filter(|_| self.is_ready(now_ms)) {
                Some(leader) => effects.push(hello(leader)),
                None => effects.extend(self.relay.members().iter().map(hello)),
            }
        }
        effects
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
