//! A deterministic simulation of a cluster of replicas: one thread, simulated time, and
//! faults from a seeded random generator. Checks the invariants after every input.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosemarygauge::consensus::{
    Action, Entry, Input, Membership, Message, Record, Recovered, Replica, ReplicaSettings, Role,
    Status, VoterChange,
};
use rosemarygauge::model::EntryName;

/// Network and disk conditions, applied at random to each message and write.
#[derive(Clone, Copy, Default)]
pub struct Network {
    pub lost_percent: u32,
    pub duplicated_percent: u32,
    pub delay_max_ms: u64,
    /// Longest duration of a synced write; 0 for [`SYNC_MAX_MS`].
    pub sync_max_ms: u64,
}

/// Longest duration of a synced write on a healthy disk.
const SYNC_MAX_MS: u64 = 7;

struct Node {
    replica: Replica,
    /// Synced content of the disk; `None` without a data folder.
    disk: Option<Recovered>,
    /// The write in flight: completion time, token and records.
    writing: Option<(u64, u64, Vec<Record>)>,
    /// Clock offset of this start; it differs between starts and instances.
    clock_offset_ms: u64,
    applied: u64,
    state: u64,
}

use crate::naive_disk::replay;

pub struct World {
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    pub network: Network,
    pub cut_links: BTreeSet<(EntryName, EntryName)>,
    pub down: BTreeSet<EntryName>,
    pub membership: Membership,
    /// The state after each committed entry: a hash of all entries up to it.
    pub history: Vec<u64>,
    pub snapshots_sent: u64,
    pub writes: u64,
    /// Voters whose removal was requested at any time.
    requested_removals: BTreeSet<EntryName>,
    /// Time of the last disk loss.
    disk_lost_ms: u64,
    voters: Vec<EntryName>,
    nodes: BTreeMap<EntryName, Node>,
    /// Messages in flight by arrival time and number: sender, receiver and message.
    in_flight: BTreeMap<(u64, u64), (EntryName, EntryName, Message)>,
    sent: u64,
    /// The leader of each term.
    leaders: BTreeMap<u64, EntryName>,
}

pub const ELECTION_MS: u64 = 300;
pub const LEASE_MS: u64 = 250;

impl World {
    /// Creates a cluster of `voters` initial voters (a, b, c ...), `spare` more instances
    /// with a data folder, and `learners` without one.
    pub fn new(seed: u64, voters: usize, spare: usize, learners: usize) -> Self {
        let names: Vec<EntryName> = ('a'..='z').map(|c| c.to_string().into()).collect();
        let mut world = Self {
            now_ms: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            network: Network {
                delay_max_ms: 2,
                ..Network::default()
            },
            cut_links: BTreeSet::new(),
            down: BTreeSet::new(),
            membership: Membership::default(),
            history: vec![0],
            snapshots_sent: 0,
            writes: 0,
            requested_removals: BTreeSet::new(),
            disk_lost_ms: 0,
            voters: names[..voters].to_vec(),
            nodes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            leaders: BTreeMap::new(),
        };
        let all = &names[..voters + spare + learners];
        for (position, name) in all.iter().enumerate() {
            let disk = (position < voters + spare).then(|| world.empty_disk());
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
        let clock_offset_ms = self.rng.random_range(0..10_000);
        let recovered = disk.clone().unwrap_or_default();
        let node = Node {
            replica: Replica::new(settings, recovered, clock_offset_ms + self.now_ms),
            disk,
            writing: None,
            clock_offset_ms,
            applied: 0,
            state: 0,
        };
        self.nodes.insert(name.clone(), node);
        self.down.remove(name);
    }

    pub fn names(&self) -> Vec<EntryName> {
        self.nodes.keys().cloned().collect()
    }

    /// Kills the process. A random prefix of the records in flight reaches the disk.
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

    /// Restarts the instance with this content of its data folder.
    pub fn restart_with(&mut self, name: &EntryName, disk: Recovered) {
        self.kill(name);
        self.start(name, Some(disk), &self.names());
    }

    pub fn lose_disk(&mut self, name: &EntryName) {
        let disk = self.empty_disk();
        self.disk_lost_ms = self.now_ms;
        self.restart_with(name, disk);
    }

    /// Returns whether the voters still have a quorum of intact data folders without this
    /// one. No change of the voters may be in flight, and a requested removal counts as
    /// done: together with two lost disks of five it makes three faults, after which
    /// neither the old nor the new voters have a quorum.
    pub fn can_lose_disk(&self, name: &EntryName) -> bool {
        let settled = self.leader().is_some_and(|leader| {
            let states = self.status(&leader).voter_states;
            let voters = states.into_iter().map(|(n, s)| (n, s.incarnation));
            Membership::new(voters.collect()) == self.membership
        });
        let without = self
            .requested_removals
            .iter()
            .map(|r| self.membership.without_voter(r));
        let mut voters = without.chain([self.membership.clone()]);
        let survives =
            voters.all(|v| self.count_intact_folders(&v.without_voter(name)) >= v.quorum());
        settled && survives && self.has_disk(name)
    }

    /// Returns how many of the voters have the data folder that the membership lists.
    fn count_intact_folders(&self, voters: &Membership) -> usize {
        let folder = |n: &EntryName| self.nodes[n].disk.as_ref().and_then(|d| d.incarnation);
        voters
            .iter()
            .filter(|(n, inc)| folder(n) == Some(*inc))
            .count()
    }

    /// Requests the removal of a voter, unless the remaining voters have no quorum because
    /// of a disk loss that is too recent for the leader to know of.
    pub fn request_removal(&mut self, at: &EntryName, name: EntryName) {
        let left = self.membership.without_voter(&name);
        if self.count_intact_folders(&left) >= left.quorum()
            || self.now_ms > self.disk_lost_ms + ELECTION_MS
        {
            self.requested_removals.insert(name.clone());
            let change = VoterChange::Remove(name);
            self.input(at, Input::ChangeVoters { change });
        }
    }

    pub fn has_disk(&self, name: &EntryName) -> bool {
        self.nodes[name].disk.is_some()
    }

    /// Ends all faults and restarts the instances that are down.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.network = Network {
            delay_max_ms: 2,
            ..Network::default()
        };
        for name in self.down.clone() {
            self.restart(&name);
        }
    }

    /// Cuts all links between these instances and the others, in both directions.
    pub fn partition(&mut self, side: &[EntryName]) {
        for a in self.names() {
            for b in self.names() {
                if side.contains(&a) != side.contains(&b) {
                    self.cut_links.insert((a.clone(), b));
                }
            }
        }
    }

    /// Cuts all links of the entry instance, in both directions.
    pub fn isolate(&mut self, name: &EntryName) {
        self.partition(std::slice::from_ref(name));
    }

    pub fn status(&self, name: &EntryName) -> Status {
        let node = &self.nodes[name];
        node.replica.status(node.clock_offset_ms + self.now_ms)
    }

    /// Returns the running leader with the highest term.
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
        let actions = node
            .replica
            .handle(node.clock_offset_ms + self.now_ms, input);
        for action in actions {
            self.perform(name, action);
        }
        self.check_leaders(name);
    }

    fn perform(&mut self, name: &EntryName, action: Action) {
        match action {
            Action::Send { to, message } => self.send(name, to, message),
            Action::Persist { token, records } => {
                let at_ms = self.now_ms
                    + self
                        .rng
                        .random_range(1..=self.network.sync_max_ms.max(SYNC_MAX_MS));
                let node = self.nodes.get_mut(name).unwrap();
                assert!(node.writing.is_none(), "more than one write in flight");
                node.writing = Some((at_ms, token, records));
                self.writes += 1;
            }
            Action::Apply { entries } => entries.iter().for_each(|e| self.apply(name, e)),
            Action::Restore { index, data } => {
                let state = u64::from_le_bytes(data[..8].try_into().unwrap());
                assert_eq!(
                    state, self.history[index as usize],
                    "wrong state in the snapshot at {name}"
                );
                let node = self.nodes.get_mut(name).unwrap();
                (node.applied, node.state) = (index, state);
            }
            Action::TakeSnapshot => {
                let node = &self.nodes[name];
                let (index, mut data) = (node.applied, node.state.to_le_bytes().to_vec());
                // Every third snapshot is large enough for several chunks.
                data.resize(if index % 3 == 0 { 600 << 10 } else { 8 }, 0);
                self.input(name, Input::SnapshotTaken { index, data });
            }
        }
    }

    fn apply(&mut self, name: &EntryName, entry: &Entry) {
        let node = self.nodes.get_mut(name).unwrap();
        assert_eq!(entry.index, node.applied + 1, "entries skipped at {name}");
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
        let copies = u64::from(self.rng.random_range(0..100) >= self.network.lost_percent)
            + u64::from(self.rng.random_range(0..100) < self.network.duplicated_percent);
        for _ in 0..copies {
            let at_ms = self.now_ms + self.rng.random_range(1..=self.network.delay_max_ms);
            self.sent += 1;
            let packet = (from.clone(), to.clone(), message.clone());
            self.in_flight.insert((at_ms, self.sent), packet);
        }
    }

    /// Advances the simulation by one millisecond.
    pub fn step(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (from, to, message) = entry.remove();
            if !self.cut_links.contains(&(from.clone(), to.clone())) {
                self.input(&to, Input::Message { from, message });
            }
        }
        for name in self.names() {
            self.complete_write(&name);
            if self.now_ms.is_multiple_of(10) {
                self.input(&name, Input::Tick);
            }
        }
    }

    fn complete_write(&mut self, name: &EntryName) {
        let node = self.nodes.get_mut(name).unwrap();
        let due = node.writing.take_if(|(at, ..)| *at <= self.now_ms);
        let Some((_, token, records)) = due else {
            return;
        };
        let disk = node.disk.as_mut().unwrap();
        records.iter().for_each(|record| replay(disk, record));
        self.input(name, Input::Persisted { token });
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        (0..duration_ms).for_each(|_| self.step());
    }

    /// Steps until the condition holds; panics after `limit_ms`. Returns the simulated
    /// time that passed.
    pub fn run_until(
        &mut self,
        what: &str,
        limit_ms: u64,
        condition: impl Fn(&Self) -> bool,
    ) -> u64 {
        let from_ms = self.now_ms;
        while !condition(self) {
            self.step();
            assert!(
                self.now_ms < from_ms + limit_ms,
                "not within {limit_ms} ms: {what}"
            );
        }
        self.now_ms - from_ms
    }

    /// Returns whether all replicas have applied all committed entries and every voter has
    /// the data folder that the membership lists.
    pub fn converged(&self) -> bool {
        let last = self.history.len() as u64 - 1;
        let voters_intact = self.leader().is_some_and(|leader| {
            let states = self.status(&leader).voter_states;
            !states.is_empty() && states.values().all(|s| s.counts)
        });
        voters_intact && self.nodes.values().all(|n| n.applied == last)
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
        let clock_ms = self.nodes[name].clock_offset_ms + self.now_ms;
        for (peer, lease_end_ms) in &status.peers_lease_end_ms {
            let theirs = self.status(peer);
            let fresh = theirs.fresh && !self.down.contains(peer);
            assert!(
                !fresh || clock_ms < *lease_end_ms,
                "the leader considers the valid lease of {peer} expired"
            );
            assert!(
                !fresh || theirs.role != Role::Leader,
                "two leaders with a valid view lease"
            );
        }
    }
}
