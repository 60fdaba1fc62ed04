use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Instant;

use crate::codec;
use crate::consensus::{HardState, Membership, Recovered, Role, Snapshot};
use crate::entry::{
    CallId, Effect, Event, Node, NodeSettings, OperatorAnswer, OperatorId, OperatorRequest,
    PeerFrame, PeerMessage,
};
use crate::model::{EntryName, UpstreamReport, ZoneName};

use super::fleet::{Builder, UNIX_MS, report, zone};

/// Period of ticks, as the driver's.
pub const TICK_MS: u64 = 20;
/// Ticks between two announcements of a worker to the same entry instance.
const ANNOUNCE_TICKS: usize = 50;
/// Length and MAC in front of each frame on a link.
const FRAME_HEAD_BYTES: usize = 36;
/// Entry instances that vote, at most.
const VOTERS: usize = 5;

/// What entry instances sent each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Frames.
    pub frames: u64,
    /// All bytes, with the frames' heads.
    pub bytes: u64,
    /// Bytes of the reports in gossip.
    pub reports: u64,
    /// Bytes of gossip beside the reports.
    pub gossip: u64,
    /// Messages of the log.
    pub log_messages: u64,
    /// Bytes of the log.
    pub log: u64,
}

impl Traffic {
    fn add(&mut self, frame: &PeerFrame, frame_bytes: usize) {
        self.frames += 1;
        self.bytes += (frame_bytes + FRAME_HEAD_BYTES) as u64;
        for message in &frame.messages {
            let bytes = codec::encode(message).len() as u64;
            match message {
                PeerMessage::Log(_) => {
                    self.log_messages += 1;
                    self.log += bytes;
                }
                PeerMessage::Gossip(gossip) => {
                    let reports = codec::encode(&gossip.reports).len() as u64;
                    self.reports += reports;
                    self.gossip += bytes - reports;
                }
                PeerMessage::InForce { .. } => {}
            }
        }
    }
}

/// What an entry instance spends its processor time on.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Ticks.
    Tick,
    /// Workers' announcements.
    Announced,
    /// Frames of peers.
    Peer,
    /// Encoding and decoding frames.
    Codec,
}

/// Processor time in nanoseconds, by [`Work`].
pub type Spent = [u64; 4];

/// One of the cluster's entry instances.
struct Member {
    name: EntryName,
    zone: ZoneName,
    node: Node,
    spent: Spent,
    longest_ns: u64,
}

/// Entry instances in one process, with workers that announce themselves. Frames
/// arrive at once; disks take no time.
pub struct Cluster {
    members: Vec<Member>,
    places: BTreeMap<EntryName, usize>,
    workers: Vec<UpstreamReport>,
    queue: VecDeque<(usize, Event)>,
    answers: Vec<OperatorAnswer>,
    now_ms: u64,
    ticks: usize,
    next_id: u64,
    /// What was sent since it was last reset.
    pub traffic: Traffic,
}

impl Cluster {
    /// A cluster that starts from a snapshot with all workers in it.
    pub fn start(entries: usize, zones: usize, workers: usize, pools: usize) -> eyre::Result<Self> {
        let built = Builder::fleet(workers, pools, zones);
        let data: Arc<[u8]> = built.state.encode()?.into();
        let names: Vec<EntryName> = (0..entries)
            .map(|i| EntryName::from(format!("entry-{i:02}")))
            .collect();
        let voters: Vec<EntryName> = names.iter().take(VOTERS.min(entries)).cloned().collect();
        let membership = voters.iter().cloned().zip(101..).collect();
        let snapshot = Arc::new(Snapshot {
            index: 1_000_000,
            term: 1,
            membership: Membership::new(membership),
            data,
        });
        let zone_of: BTreeMap<EntryName, ZoneName> = names
            .iter()
            .enumerate()
            .map(|(i, name)| (name.clone(), zone(i % zones)))
            .collect();
        let members = names
            .iter()
            .enumerate()
            .map(|(i, name)| {
                let settings = NodeSettings {
                    me: name.clone(),
                    incarnation: UNIX_MS,
                    zone: zone(i % zones),
                    members: zone_of.clone(),
                    voters: voters.clone(),
                    seed: i as u64,
                    ..NodeSettings::default()
                };
                let recovered = Recovered {
                    incarnation: voters.contains(name).then_some(101 + i as u64),
                    hard: HardState {
                        term: 1,
                        voted_for: None,
                    },
                    snapshot: Some(Arc::clone(&snapshot)),
                    entries: Vec::new(),
                };
                Member {
                    name: name.clone(),
                    zone: zone(i % zones),
                    node: Node::new(settings, recovered, UNIX_MS, 0),
                    spent: Spent::default(),
                    longest_ns: 0,
                }
            })
            .collect();
        Ok(Self {
            members,
            places: names.into_iter().zip(0..).collect(),
            workers: (0..workers).map(|i| report(i, pools, zones)).collect(),
            queue: VecDeque::new(),
            answers: Vec::new(),
            now_ms: 0,
            ticks: 0,
            next_id: 1,
            traffic: Traffic::default(),
        })
    }

    /// Lets simulated time pass.
    pub fn run_ms(&mut self, ms: u64) {
        let end_ms = self.now_ms + ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.ticks += 1;
            self.announce();
            for place in 0..self.members.len() {
                self.queue.push_back((place, Event::Tick));
            }
            self.settle();
        }
    }

    /// An operator's request at an entry instance, and its answer if there is
    /// one at once.
    pub fn operate(&mut self, place: usize, request: OperatorRequest) {
        let id = OperatorId(self.next_id);
        self.next_id += 1;
        self.queue
            .push_back((place, Event::Operator { id, request }));
        self.settle();
    }

    /// Operators' answers since the last time.
    pub fn answers(&mut self) -> Vec<OperatorAnswer> {
        std::mem::take(&mut self.answers)
    }

    /// The leader's place; none if there is no leader.
    pub fn leader(&self) -> Option<usize> {
        let leads = |m: &Member| m.node.status(self.now_ms).log.role == Role::Leader;
        self.members.iter().position(leads)
    }

    /// Upstreams whose lease holds at an entry instance.
    pub fn upstreams(&self, place: usize) -> usize {
        self.members[place].node.status(self.now_ms).upstreams
    }

    /// Processor time of each entry instance since the last time.
    pub fn take_spent(&mut self) -> Vec<Spent> {
        let take = |m: &mut Member| std::mem::take(&mut m.spent);
        self.members.iter_mut().map(take).collect()
    }

    /// The longest event of any entry instance since the last time, in
    /// nanoseconds: for so long nothing else was decided there.
    pub fn take_longest_ns(&mut self) -> u64 {
        let take = |m: &mut Member| std::mem::take(&mut m.longest_ns);
        self.members.iter_mut().map(take).max().unwrap_or_default()
    }

    /// The workers of a rack, or of a whole availability zone, fall silent.
    pub fn lose(&mut self, lost: impl Fn(&UpstreamReport) -> bool) -> usize {
        let before = self.workers.len();
        self.workers.retain(|worker| !lost(worker));
        before - self.workers.len()
    }

    /// Instances that serve, as the replicated state at an entry instance has it.
    pub fn serving(&self, place: usize) -> usize {
        let status = self.members[place].node.status(self.now_ms);
        status
            .pools
            .values()
            .map(|pool| pool.serving as usize)
            .sum()
    }

    /// Every worker announces once a second to each entry instance of its zone,
    /// all of them spread over the second.
    fn announce(&mut self) {
        let turn = self.ticks % ANNOUNCE_TICKS;
        for worker in self.workers.iter_mut().skip(turn).step_by(ANNOUNCE_TICKS) {
            for (place, member) in self.members.iter().enumerate() {
                if member.zone == worker.zone {
                    worker.sequence += 1;
                    let id = CallId(self.next_id);
                    self.next_id += 1;
                    let report = worker.clone();
                    self.queue
                        .push_back((place, Event::Announced { id, report }));
                }
            }
        }
    }

    fn settle(&mut self) {
        while let Some((place, event)) = self.queue.pop_front() {
            let work = match event {
                Event::Announced { .. } => Work::Announced,
                Event::Peer { .. } => Work::Peer,
                _ => Work::Tick,
            };
            let begun = Instant::now();
            let effects = self.members[place].node.handle(self.now_ms, event);
            self.spend(place, work, begun);
            for effect in effects {
                self.carry_out(place, effect);
            }
        }
    }

    fn carry_out(&mut self, place: usize, effect: Effect) {
        match effect {
            Effect::Persist { token, .. } => {
                self.queue.push_back((place, Event::Persisted { token }));
            }
            Effect::Peer { to, frame } => self.send(place, &to, &frame),
            Effect::AnswerOperator { answer, .. } => self.answers.push(answer),
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &EntryName, frame: &PeerFrame) {
        let Some(&to) = self.places.get(to) else {
            return;
        };
        let begun = Instant::now();
        let bytes = codec::encode(frame);
        self.spend(from, Work::Codec, begun);
        self.traffic.add(frame, bytes.len());
        let begun = Instant::now();
        let Ok(frame) = codec::decode(&bytes) else {
            return;
        };
        self.spend(to, Work::Codec, begun);
        let from = self.members[from].name.clone();
        self.queue.push_back((to, Event::Peer { from, frame }));
    }

    fn spend(&mut self, place: usize, work: Work, begun: Instant) {
        let ns = u64::try_from(begun.elapsed().as_nanos()).unwrap_or(u64::MAX);
        let member = &mut self.members[place];
        member.spent[work as usize] += ns;
        member.longest_ns = member.longest_ns.max(ns);
    }
}
