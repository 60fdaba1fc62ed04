//! Control instances in availability zones, without workers: simulated time, disks and cuts.
//!
//! At every step it checks that no two instances lead in one term, and that whoever leads
//! holds every configuration that was acknowledged.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::consensus::{Record, Recovered};
use rosemarygauge::control::{
    Answer, Call, Effect, Event, Location, Node, NodeSettings, PeerMessage, Policy, Spread,
    Tolerance,
};
use rosemarygauge::model::EntryName;

use crate::naive_disk::replay;
use crate::world::{TIMING, configuration};

const STEP_MS: u64 = 5;
const TICK_MS: u64 = 20;
const SYNC_MS: u64 = 5;

pub struct Instance {
    node: Option<Node>,
    disk: Recovered,
    start: u64,
    pub location: Location,
}

enum Flying {
    Peer(EntryName, EntryName, Box<PeerMessage>),
    Persisted(EntryName, u64, u64, Vec<Record>),
}

pub struct Zoned {
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    pub instances: BTreeMap<EntryName, Instance>,
    pub tolerance: Tolerance,
    seeds: Vec<EntryName>,
    flying: BTreeMap<(u64, u64), Flying>,
    sent: u64,
    /// Pairs of instances that cannot reach each other, one way.
    pub cut: BTreeSet<(EntryName, EntryName)>,
    /// Calls in flight, with the version that each puts in force.
    calls: BTreeMap<u64, u64>,
    next_version: u64,
    acknowledged: u64,
    leaders: BTreeMap<u64, EntryName>,
    /// How often a leader began, and how often voters were added or removed.
    pub leaderships: usize,
    pub voter_changes: usize,
    last_voters: Vec<EntryName>,
}

pub fn zone_of(zone: usize) -> Location {
    Location {
        region: None,
        zone: format!("zone-{zone}").into(),
    }
}

pub fn name(zone: usize, place: usize) -> EntryName {
    EntryName::from(format!("10.{zone}.0.{place}"))
}

impl Zoned {
    /// Starts so many instances in each zone, the first three of which, by name, are named in
    /// the settings.
    pub fn new(seed: u64, zones: &[usize], tolerance: Tolerance) -> Self {
        let all = zones.iter().enumerate();
        let all = all.flat_map(|(zone, count)| (0..*count).map(move |place| (zone, place)));
        let all: Vec<(usize, usize)> = all.collect();
        let seeds = all.iter().take(3).map(|(zone, place)| name(*zone, *place));
        let mut world = Self {
            now_ms: 1_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: BTreeMap::new(),
            tolerance,
            seeds: seeds.collect(),
            flying: BTreeMap::new(),
            sent: 0,
            cut: BTreeSet::new(),
            calls: BTreeMap::new(),
            next_version: 0,
            acknowledged: 0,
            leaders: BTreeMap::new(),
            leaderships: 0,
            voter_changes: 0,
            last_voters: Vec::new(),
        };
        for (zone, place) in all {
            world.join_first(&name(zone, place), zone, true);
        }
        world
    }

    fn join_first(&mut self, at: &EntryName, zone: usize, first_start: bool) {
        let disk = Recovered {
            incarnation: Some(self.rng.random()),
            ..Recovered::default()
        };
        let instance = Instance {
            node: None,
            disk,
            start: 0,
            location: zone_of(zone),
        };
        self.instances.insert(at.clone(), instance);
        self.start(at, first_start);
    }

    /// Starts an instance that was not there at the first start, with an empty folder.
    pub fn join(&mut self, at: &EntryName, zone: usize) {
        self.join_first(at, zone, false);
    }

    fn start(&mut self, at: &EntryName, first_start: bool) {
        let seed = self.rng.random();
        let instance = self.instances.get_mut(at).unwrap();
        let settings = NodeSettings {
            me: at.clone(),
            seeds: self.seeds.clone(),
            first_start,
            location: instance.location.clone(),
            tolerance: self.tolerance,
            machine_orders_per_s: 600.0,
            timing: TIMING,
            policy: Policy::default(),
            seed,
        };
        let unix_ms = 1_700_000_000_000 + self.now_ms;
        instance.start += 1;
        instance.node = Some(Node::new(
            settings,
            instance.disk.clone(),
            unix_ms,
            self.now_ms,
        ));
    }

    pub fn is_up(&self, at: &EntryName) -> bool {
        self.instances.get(at).is_some_and(|i| i.node.is_some())
    }

    pub fn kill(&mut self, at: &EntryName) {
        self.instances.get_mut(at).unwrap().node = None;
    }

    pub fn restart(&mut self, at: &EntryName) {
        self.start(at, false);
    }

    /// Starts an instance again, with an empty folder.
    pub fn wipe(&mut self, at: &EntryName) {
        let incarnation = self.rng.random();
        let instance = self.instances.get_mut(at).unwrap();
        instance.disk = Recovered {
            incarnation: Some(incarnation),
            ..Recovered::default()
        };
        self.start(at, false);
    }

    /// Removes an instance for good.
    pub fn remove(&mut self, at: &EntryName) {
        self.instances.remove(at);
    }

    pub fn names_in(&self, zone: usize) -> Vec<EntryName> {
        let in_zone = self.instances.iter();
        let in_zone = in_zone.filter(|(_, i)| i.location == zone_of(zone));
        in_zone.map(|(name, _)| name.clone()).collect()
    }

    /// Cuts the way from the instances of one zone to those of another.
    pub fn cut_way(&mut self, from: usize, to: usize) {
        for one in self.names_in(from) {
            for other in self.names_in(to) {
                self.cut.insert((one.clone(), other));
            }
        }
    }

    /// Cuts a zone off from all others, both ways.
    pub fn cut_zone(&mut self, zone: usize, zones: usize) {
        for other in (0..zones).filter(|other| *other != zone) {
            self.cut_way(zone, other);
            self.cut_way(other, zone);
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// The instances that lead now.
    pub fn leading(&self) -> Vec<&EntryName> {
        let leads = |i: &Instance| i.node.as_ref().is_some_and(|n| n.leads(self.now_ms));
        let leading = self.instances.iter().filter(|(_, i)| leads(i));
        leading.map(|(name, _)| name).collect()
    }

    pub fn leader(&self) -> Option<EntryName> {
        self.leading().first().map(|name| (*name).clone())
    }

    /// The voters as the leader knows them.
    pub fn voters(&self) -> Vec<EntryName> {
        let node = self.leader().and_then(|l| self.instances[&l].node.as_ref());
        let status = node.map(|node| node.quorum_status(self.now_ms));
        let voters = status.into_iter().flat_map(|status| status.voters);
        voters.map(|voter| voter.name).collect()
    }

    /// Where the voters are, by the settings of the instances.
    pub fn spread(&self) -> Spread {
        let locations = self.voters();
        Spread::of(
            locations
                .iter()
                .map(|name| self.instances.get(name).map(|i| &i.location)),
        )
    }

    /// Puts a new configuration in force through an instance.
    pub fn configure(&mut self, at: &EntryName) {
        self.next_version += 1;
        let id = self.next_version;
        self.calls.insert(id, self.next_version);
        let call = Call::Configure(Arc::new(configuration(self.next_version)));
        self.feed(at, Event::Call { id, call });
    }

    pub fn acknowledged(&self) -> u64 {
        self.acknowledged
    }

    pub fn run_ms(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        while let Some(entry) = self.flying.first_entry()
            && entry.key().0 <= self.now_ms
        {
            match entry.remove() {
                Flying::Peer(from, to, message) => {
                    let event = Event::Peer {
                        from: from.clone(),
                        message,
                    };
                    if !self.cut.contains(&(from, to.clone())) {
                        self.feed(&to, event);
                    }
                }
                Flying::Persisted(at, start, token, records) => {
                    let current = self.instances.get_mut(&at).filter(|i| i.start == start);
                    let Some(instance) = current.filter(|i| i.node.is_some()) else {
                        continue;
                    };
                    records.iter().for_each(|r| replay(&mut instance.disk, r));
                    self.feed(&at, Event::Persisted { token });
                }
            }
        }
        if self.now_ms.is_multiple_of(TICK_MS) {
            for at in self.instances.keys().cloned().collect::<Vec<_>>() {
                self.feed(&at, Event::Tick);
            }
        }
        self.check();
    }

    fn check(&mut self) {
        let leading: Vec<EntryName> = self.leading().into_iter().cloned().collect();
        for at in leading {
            let node = self.instances[&at].node.as_ref().unwrap();
            let status = node.quorum_status(self.now_ms);
            let held = node.state().configuration().map_or(0, |c| c.version);
            assert!(
                held >= self.acknowledged,
                "{at} leads with version {held}, {} was acknowledged",
                self.acknowledged
            );
            let voters: Vec<EntryName> = status.voters.into_iter().map(|v| v.name).collect();
            if self.last_voters != voters {
                self.voter_changes += 1;
                self.last_voters = voters;
            }
            let first = self.leaders.entry(status.term).or_insert_with(|| {
                self.leaderships += 1;
                at.clone()
            });
            assert_eq!(*first, at, "two instances lead in term {}", status.term);
        }
    }

    fn feed(&mut self, at: &EntryName, event: Event) {
        let now_ms = self.now_ms;
        let Some(instance) = self.instances.get_mut(at) else {
            return;
        };
        let start = instance.start;
        let Some(node) = &mut instance.node else {
            return;
        };
        for effect in node.handle(now_ms, event) {
            match effect {
                Effect::Send { to, message } => {
                    let after_ms = self.rng.random_range(1..4);
                    self.fly(after_ms, Flying::Peer(at.clone(), to, message));
                }
                Effect::Persist { token, records } => {
                    let write = Flying::Persisted(at.clone(), start, token, records);
                    self.fly(SYNC_MS, write);
                }
                Effect::Answer { id, answer } => {
                    if let (Some(version), Answer::Done) = (self.calls.remove(&id), answer) {
                        self.acknowledged = self.acknowledged.max(version);
                    }
                }
                _ => {}
            }
        }
    }

    fn fly(&mut self, after_ms: u64, flying: Flying) {
        self.sent += 1;
        self.flying
            .insert((self.now_ms + after_ms, self.sent), flying);
    }
}
