//! Replicas without a network: one thread, simulated time, seeded faults, and
//! the invariants checked after every input.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::consensus::{
    Action, Entry, Input, Membership, Message, Record, Recovered, Replica, ReplicaSettings, Role,
    Status, VoterChange,
};
use rosemarygauge::model::EntryName;

/// What is drawn at random for each message.
#[derive(Clone, Copy, Default)]
pub struct Net {
    pub lost_percent: u32,
    pub doubled_percent: u32,
    pub delay_max_ms: u64,
    /// Longest time that a write takes to be synced; 0 for [`SYNC_MAX_MS`].
    pub sync_max_ms: u64,
}

/// How long writes take to be synced, at most, on a healthy disk.
const SYNC_MAX_MS: u64 = 7;

struct Node {
    replica: Replica,
    /// What the disk holds, synced; none without a folder.
    disk: Option<Recovered>,
    writing: Option<(u64, u64, Vec<Record>)>,
    /// This start's clock begins elsewhere than the others'.
    clock_ms: u64,
    applied: u64,
    state: u64,
}

use crate::naive_disk::replay;

pub struct World {
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    pub net: Net,
    pub cut: BTreeSet<(EntryName, EntryName)>,
    pub down: BTreeSet<EntryName>,
    pub membership: Membership,
    /// The state after each committed entry: a hash over all up to it.
    pub history: Vec<u64>,
    pub snapshots_sent: u64,
    pub writes: u64,
    /// Voters whose removal was asked for at some time.
    removing: BTreeSet<EntryName>,
    lost_ms: u64,
    voters: Vec<EntryName>,
    nodes: BTreeMap<EntryName, Node>,
    flying: BTreeMap<(u64, u64), (EntryName, EntryName, Message)>,
    sent: u64,
    leaders: BTreeMap<u64, EntryName>,
}

pub const ELECTION_MS: u64 = 300;
pub const LEASE_MS: u64 = 250;

impl World {
    /// `voters` first voters (a, b, c ...), `spare` more with a folder, and
    /// `learners` without.
    pub fn new(seed: u64, voters: usize, spare: usize, learners: usize) -> Self {
        let names: Vec<EntryName> = ('a'..='z').map(|c| c.to_string().into()).collect();
        let mut world = Self {
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            net: Net {
                delay_max_ms: 2,
                ..Net::default()
            },
            cut: BTreeSet::new(),
            down: BTreeSet::new(),
            membership: Membership::default(),
            history: vec![0],
            snapshots_sent: 0,
            writes: 0,
            removing: BTreeSet::new(),
            lost_ms: 0,
            voters: names[..voters].to_vec(),
            nodes: BTreeMap::new(),
            flying: BTreeMap::new(),
            sent: 0,
            leaders: BTreeMap::new(),
        };
        let all = &names[..voters + spare + learners];
        for (place, name) in all.iter().enumerate() {
            let disk = (place < voters + spare).then(|| world.empty_disk());
            world.start(name, disk, all);
        }
        world
    }

    fn empty_disk(&mut self) -> Recovered {
        Recovered {
            incarnation: Some(self.rng.random()),
            ..Recovered::default()
        }
    }

    fn start(&mut self, name: &EntryName, disk: Option<Recovered>, all: &[EntryName]) {
        let settings = ReplicaSettings {
            me: name.clone(),
            voters: self.voters.clone(),
            peers: all.to_vec(),
            heartbeat_ms: 50,
            election_timeout_ms: ELECTION_MS,
            view_lease_ms: LEASE_MS,
            snapshot_every: 20,
            seed: self.rng.random(),
        };
        let clock_ms = self.rng.random_range(0..10_000);
        let recovered = disk.clone().unwrap_or_default();
        let node = Node {
            replica: Replica::new(settings, recovered, clock_ms + self.now_ms),
            disk,
            writing: None,
            clock_ms,
            applied: 0,
            state: 0,
        };
        self.nodes.insert(name.clone(), node);
        self.down.remove(name);
    }

    pub fn names(&self) -> Vec<EntryName> {
        self.nodes.keys().cloned().collect()
    }

    /// Kills the process: of what was not synced, a part may have reached the disk.
    pub fn kill(&mut self, name: &EntryName) {
        let node = self.nodes.get_mut(name).unwrap();
        if let (Some(disk), Some((_, _, records))) = (&mut node.disk, node.writing.take()) {
            let kept = self.rng.random_range(0..=records.len());
            records[..kept].iter().for_each(|r| replay(disk, r));
        }
        self.down.insert(name.clone());
    }

    pub fn restart(&mut self, name: &EntryName) {
        if !self.down.contains(name) {
            self.kill(name);
        }
        let disk = self.nodes[name].disk.clone();
        self.start(name, disk, &self.names());
    }

    pub fn disk(&self, name: &EntryName) -> Recovered {
        self.nodes[name].disk.clone().unwrap()
    }

    /// Restarts it with this in its data folder.
    pub fn restart_with(&mut self, name: &EntryName, disk: Recovered) {
        self.kill(name);
        self.start(name, Some(disk), &self.names());
    }

    pub fn lose_disk(&mut self, name: &EntryName) {
        let disk = self.empty_disk();
        self.lost_ms = self.now_ms;
        self.restart_with(name, disk);
    }

    /// Whether the voters still have a quorum of whole folders without this one. A
    /// change of the voters must not be under way, and a removal that was asked for
    /// counts as done: it and two lost disks of five are three faults, after which
    /// neither the old nor the new voters have a quorum.
    pub fn may_lose_disk(&self, name: &EntryName) -> bool {
        let settled = self.leader().is_some_and(|leader| {
            let states = self.status(&leader).voter_states;
            let voters = states.into_iter().map(|(n, s)| (n, s.incarnation));
            Membership::new(voters.collect()) == self.membership
        });
        let without = self.removing.iter().map(|r| self.membership.without(r));
        let mut voters = without.chain([self.membership.clone()]);
        let survives = voters.all(|v| self.whole(&v.without(name)) >= v.quorum());
        settled && survives && self.may_hold_disk(name)
    }

    /// How many of the voters have the folder that counts.
    fn whole(&self, voters: &Membership) -> usize {
        let folder = |n: &EntryName| self.nodes[n].disk.as_ref().and_then(|d| d.incarnation);
        voters
            .iter()
            .filter(|(n, inc)| folder(n) == Some(*inc))
            .count()
    }

    /// Asks for a removal, unless a disk was lost so lately that the leader can't
    /// know yet that the rest has no quorum.
    pub fn remove(&mut self, at: &EntryName, name: EntryName) {
        let left = self.membership.without(&name);
        if self.whole(&left) >= left.quorum() || self.now_ms > self.lost_ms + ELECTION_MS {
            self.removing.insert(name.clone());
            let change = VoterChange::Remove(name);
            self.input(at, Input::ChangeVoters { change });
        }
    }

    pub fn may_hold_disk(&self, name: &EntryName) -> bool {
        self.nodes[name].disk.is_some()
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.net = Net {
            delay_max_ms: 2,
            ..Net::default()
        };
        for name in self.down.clone() {
            self.restart(&name);
        }
    }

    /// Cuts this side off from the rest, both ways.
    pub fn split(&mut self, side: &[EntryName]) {
        for a in self.names() {
            for b in self.names() {
                if side.contains(&a) != side.contains(&b) {
                    self.cut.insert((a.clone(), b));
                }
            }
        }
    }

    /// Cuts the entry instance off from all others, both ways.
    pub fn isolate(&mut self, name: &EntryName) {
        self.split(std::slice::from_ref(name));
    }

    pub fn status(&self, name: &EntryName) -> Status {
        let node = &self.nodes[name];
        node.replica.status(node.clock_ms + self.now_ms)
    }

    /// The leader of the highest term that is up.
    pub fn leader(&self) -> Option<EntryName> {
        let up = self.nodes.keys().filter(|n| !self.down.contains(*n));
        let leads = up.filter(|n| self.status(n).role == Role::Leader);
        leads.max_by_key(|n| self.status(n).term).cloned()
    }

    pub fn propose(&mut self, at: &EntryName, command: &[u8]) {
        let command = command.to_vec();
        self.input(at, Input::Propose { command });
    }

    pub fn input(&mut self, name: &EntryName, input: Input) {
        if self.down.contains(name) {
            return;
        }
        let node = self.nodes.get_mut(name).unwrap();
        let actions = node.replica.handle(node.clock_ms + self.now_ms, input);
        for action in actions {
            self.act(name, action);
        }
        self.check_leaders(name);
    }

    fn act(&mut self, name: &EntryName, action: Action) {
        match action {
            Action::Send { to, message } => self.send(name, to, message),
            Action::Persist { token, records } => {
                let at_ms = self.now_ms
                    + self
                        .rng
                        .random_range(1..=self.net.sync_max_ms.max(SYNC_MAX_MS));
                let node = self.nodes.get_mut(name).unwrap();
                assert!(node.writing.is_none(), "one write at a time");
                node.writing = Some((at_ms, token, records));
                self.writes += 1;
            }
            Action::Apply { entries } => entries.iter().for_each(|e| self.apply(name, e)),
            Action::Restore { index, data } => {
                let state = u64::from_le_bytes(data[..8].try_into().unwrap());
                assert_eq!(state, self.history[index as usize], "snapshot at {name}");
                let node = self.nodes.get_mut(name).unwrap();
                (node.applied, node.state) = (index, state);
            }
            Action::TakeSnapshot => {
                let node = &self.nodes[name];
                let (index, mut data) = (node.applied, node.state.to_le_bytes().to_vec());
                // Large enough for several pieces now and then.
                data.resize(if index % 3 == 0 { 600 << 10 } else { 8 }, 0);
                self.input(name, Input::SnapshotTaken { index, data });
            }
        }
    }

    fn apply(&mut self, name: &EntryName, entry: &Entry) {
        let node = self.nodes.get_mut(name).unwrap();
        assert_eq!(entry.index, node.applied + 1, "no gap at {name}");
        let mut hasher = DefaultHasher::new();
        (node.state, entry.term, &entry.command).hash(&mut hasher);
        (node.applied, node.state) = (entry.index, hasher.finish());
        match self.history.get(entry.index as usize) {
            Some(state) => assert_eq!(node.state, *state, "committed entry changed at {name}"),
            None => {
                self.history.push(node.state);
                if let Some(membership) = &entry.membership {
                    self.membership = membership.clone();
                }
            }
        }
    }

    fn send(&mut self, from: &EntryName, to: EntryName, message: Message) {
        if let Message::Chunk { data, .. } = &message {
            assert!(data.len() < 1 << 20);
            self.snapshots_sent += 1;
        }
        let copies = u64::from(self.rng.random_range(0..100) >= self.net.lost_percent)
            + u64::from(self.rng.random_range(0..100) < self.net.doubled_percent);
        for _ in 0..copies {
            let at_ms = self.now_ms + self.rng.random_range(1..=self.net.delay_max_ms);
            self.sent += 1;
            let flight = (from.clone(), to.clone(), message.clone());
            self.flying.insert((at_ms, self.sent), flight);
        }
    }

    /// Lets one millisecond pass.
    pub fn step(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.flying.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (from, to, message) = entry.remove();
            if !self.cut.contains(&(from.clone(), to.clone())) {
                self.input(&to, Input::Message { from, message });
            }
        }
        for name in self.names() {
            self.sync(&name);
            if self.now_ms.is_multiple_of(10) {
                self.input(&name, Input::Tick);
            }
        }
    }

    fn sync(&mut self, name: &EntryName) {
        let node = self.nodes.get_mut(name).unwrap();
        let due = node.writing.take_if(|(at, ..)| *at <= self.now_ms);
        let Some((_, token, records)) = due else {
            return;
        };
        let disk = node.disk.as_mut().unwrap();
        records.iter().for_each(|record| replay(disk, record));
        self.input(name, Input::Persisted { token });
    }

    pub fn run(&mut self, for_ms: u64) {
        (0..for_ms).for_each(|_| self.step());
    }

    /// Steps until it holds; panics after `limit_ms`.
    pub fn until(&mut self, what: &str, limit_ms: u64, holds: impl Fn(&Self) -> bool) -> u64 {
        let from_ms = self.now_ms;
        while !holds(self) {
            self.step();
            assert!(self.now_ms < from_ms + limit_ms, "{what} in {limit_ms} ms");
        }
        self.now_ms - from_ms
    }

    /// All are up, hold all that is committed, and every voter counts.
    pub fn converged(&self) -> bool {
        let last = self.history.len() as u64 - 1;
        let whole = self.leader().is_some_and(|leader| {
            let states = self.status(&leader).voter_states;
            !states.is_empty() && states.values().all(|s| s.counts)
        });
        whole && self.nodes.values().all(|n| n.applied == last)
    }

    fn check_leaders(&mut self, name: &EntryName) {
        let status = self.status(name);
        if status.role != Role::Leader {
            return;
        }
        let first = self.leaders.entry(status.term).or_insert(name.clone());
        assert_eq!(first, name, "two leaders in term {}", status.term);
        if !status.fresh {
            return;
        }
        let clock_ms = self.nodes[name].clock_ms + self.now_ms;
        for (peer, lease_end_ms) in &status.peers_lease_end_ms {
            let theirs = self.status(peer);
            let fresh = theirs.fresh && !self.down.contains(peer);
            assert!(
                !fresh || clock_ms < *lease_end_ms,
                "lease of {peer} is over"
            );
            assert!(!fresh || theirs.role != Role::Leader, "two fresh leaders");
        }
    }
}
