//! `measure-log`: what the replicated log costs on this machine.
//!
//! Prints the time to recover a data folder, the changes per second with one
//! sync each and with group commit, the time to a new leader, and the bytes of an
//! idle peer. Disks are real (under the folder given), the network of the
//! election is not: its milliseconds are simulated. The machine may be busy, so
//! compare figures of one run only.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Instant;

use eyre::eyre;

use crate::consensus::{
    Action, Entry, Input, Message, Record, Recovered, Replica, ReplicaSettings, Role,
};
use crate::model::EntryName;
use crate::storage::Disk;

/// Bytes of one change, about what a row with its operator takes.
const COMMAND_BYTES: usize = 200;

/// Elections measured per setting: enough that the largest says something.
const ELECTIONS: u64 = 200;

/// Changes per measurement of throughput.
const CHANGES: usize = 2_000;

/// Rounds of that measurement; odd, so that one is the median.
const ROUNDS: usize = 9;

/// Runs all measurements with files under `folder` and prints their tables.
///
/// # Errors
/// The folder can't be written.
pub fn run(folder: &Path) -> eyre::Result<()> {
    println!("recovery: changes  snapshot  folder KiB  open ms  open and apply ms");
    for changes in [300, 100_000] {
        for with_snapshot in [false, true] {
            recovery(folder, changes, with_snapshot)?;
        }
    }
    println!("one voter: at once  changes/s median  least  most  changes a sync");
    throughputs(folder)?;
    println!("leader killed, 3 voters 1 ms apart: heartbeat ms  timeout ms  p50 ms  max ms");
    for (heartbeat_ms, election_timeout_ms) in [(50, 300), (100, 600), (100, 1_000)] {
        elections(heartbeat_ms, election_timeout_ms)?;
    }
    println!("idle peer: message  bytes");
    idle_messages()
}

fn settings(me: &str, voters: &[&str], seed: u64) -> ReplicaSettings {
    ReplicaSettings {
        me: me.into(),
        voters: voters.iter().map(|v| EntryName::from(*v)).collect(),
        peers: Vec::new(),
        heartbeat_ms: 100,
        election_timeout_ms: 1_000,
        view_lease_ms: 900,
        snapshot_every: 0,
        seed,
    }
}

/// A cluster of one voter on a real disk, with a simulated clock.
struct SingleVoter {
    disk: Disk,
    replica: Replica,
    now_ms: u64,
    applied: u64,
    snapshot_bytes: usize,
}

impl SingleVoter {
    fn open(folder: &Path, snapshot_every: u64) -> eyre::Result<Self> {
        let (disk, recovered) = Disk::open(folder)?;
        let mut settings = settings("a", &["a"], 1);
        settings.snapshot_every = snapshot_every;
        Ok(Self {
            disk,
            replica: Replica::new(settings, recovered, 0),
            now_ms: 0,
            applied: 0,
            snapshot_bytes: 0,
        })
    }

    fn input(&mut self, input: Input) -> eyre::Result<()> {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in self.replica.handle(self.now_ms, input) {
                match action {
                    Action::Persist { token, records } => {
                        self.disk.persist(&[&records])?;
                        inputs.push(Input::Persisted { token });
                    }
                    Action::Apply { entries } => self.applied += entries.len() as u64,
                    Action::Restore { index, .. } => self.applied = index,
                    Action::TakeSnapshot => inputs.insert(
                        0,
                        Input::SnapshotTaken {
                            index: self.applied,
                            data: vec![1; self.snapshot_bytes],
                        },
                    ),
                    Action::Send { .. } => {}
                }
            }
        }
        Ok(())
    }

    /// Lets simulated time pass until it leads.
    fn lead(&mut self) -> eyre::Result<()> {
        while self.replica.status(self.now_ms).role != Role::Leader {
            self.now_ms += 10;
            self.input(Input::Tick)?;
        }
        Ok(())
    }

    /// Proposes so many changes at once; they share the writes that come up while
    /// the first is under way.
    fn change(&mut self, count: usize) -> eyre::Result<()> {
        let mut persists = Vec::new();
        for _ in 0..count {
            let command = vec![7; COMMAND_BYTES];
            for action in self.replica.handle(self.now_ms, Input::Propose { command }) {
                if let Action::Persist { token, records } = action {
                    persists.push((token, records));
                }
            }
        }
        for (token, records) in persists {
            self.disk.persist(&[&records])?;
            self.input(Input::Persisted { token })?;
        }
        Ok(())
    }
}

fn recovery(folder: &Path, changes: u64, with_snapshot: bool) -> eyre::Result<()> {
    let folder = tempfile::tempdir_in(folder)?;
    // The last tenth of the changes is not in the snapshot.
    let every = if with_snapshot { changes * 9 / 10 } else { 0 };
    let mut voter = SingleVoter::open(folder.path(), every)?;
    voter.snapshot_bytes = 1 << 20;
    voter.lead()?;
    while voter.applied < changes {
        voter.change(100)?;
    }
    let applied = voter.applied;
    drop(voter);
    let mut size_bytes = 0;
    for file in std::fs::read_dir(folder.path())? {
        size_bytes += file?.metadata()?.len();
    }
    let from = Instant::now();
    let mut voter = SingleVoter::open(folder.path(), 0)?;
    let open = from.elapsed();
    while voter.applied < applied {
        voter.now_ms += 10;
        voter.input(Input::Tick)?;
    }
    let all = from.elapsed();
    let (open_ms, all_ms) = (open.as_secs_f64() * 1e3, all.as_secs_f64() * 1e3);
    let size = size_bytes >> 10;
    println!("{changes:17}  {with_snapshot:8}  {size:10}  {open_ms:7.1}  {all_ms:17.1}");
    Ok(())
}

/// Takes turns among the sizes, so that a disk that is slow for a while is slow
/// for all of them.
fn throughputs(folder: &Path) -> eyre::Result<()> {
    let mut measured: BTreeMap<usize, Vec<(f64, f64)>> = BTreeMap::new();
    for _ in 0..ROUNDS {
        for at_once in [1, 8, 64, 512] {
            let rate = throughput(folder, at_once)?;
            measured.entry(at_once).or_default().push(rate);
        }
    }
    for (at_once, mut rates) in measured {
        rates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let ((median, a_sync), least, most) = (rates[ROUNDS / 2], rates[0].0, rates[ROUNDS - 1].0);
        println!("{at_once:18}  {median:16.0}  {least:5.0}  {most:6.0}  {a_sync:14.1}");
    }
    Ok(())
}

/// Changes per second and per sync.
fn throughput(folder: &Path, at_once: usize) -> eyre::Result<(f64, f64)> {
    let folder = tempfile::tempdir_in(folder)?;
    let mut voter = SingleVoter::open(folder.path(), 0)?;
    voter.lead()?;
    let (syncs, applied, from) = (voter.disk.syncs(), voter.applied, Instant::now());
    let target = applied + CHANGES as u64;
    while voter.applied < target {
        voter.change(at_once)?;
    }
    let changes = (voter.applied - applied) as f64;
    let rate = changes / from.elapsed().as_secs_f64();
    let a_sync = changes / (voter.disk.syncs() - syncs) as f64;
    Ok((rate, a_sync))
}

/// Three voters, 1 ms apart, whose writes take no time.
struct ThreeVoters {
    now_ms: u64,
    replicas: BTreeMap<EntryName, Replica>,
    flying: Vec<(EntryName, EntryName, Message)>,
}

impl ThreeVoters {
    fn new(heartbeat_ms: u64, election_timeout_ms: u64, seed: u64) -> Self {
        let names = ["a", "b", "c"];
        let replica = |(place, me): (u64, &&str)| {
            let mut settings = settings(me, &names, seed * 3 + place);
            settings.heartbeat_ms = heartbeat_ms;
            settings.election_timeout_ms = election_timeout_ms;
            let recovered = Recovered {
                incarnation: Some(place + 1),
                ..Recovered::default()
            };
            (EntryName::from(*me), Replica::new(settings, recovered, 0))
        };
        Self {
            now_ms: 0,
            replicas: (0..).zip(&names).map(replica).collect(),
            flying: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        for (from, to, message) in std::mem::take(&mut self.flying) {
            self.input(&to, Input::Message { from, message });
        }
        for name in self.replicas.keys().cloned().collect::<Vec<_>>() {
            self.input(&name, Input::Tick);
        }
    }

    fn input(&mut self, name: &EntryName, input: Input) {
        let Some(replica) = self.replicas.get_mut(name) else {
            return;
        };
        for action in replica.handle(self.now_ms, input) {
            match action {
                Action::Send { to, message } => self.flying.push((name.clone(), to, message)),
                Action::Persist { token, .. } => self.input(name, Input::Persisted { token }),
                Action::Apply { .. } | Action::Restore { .. } | Action::TakeSnapshot => {}
            }
        }
    }

    /// The leader that serves, once it has committed an entry of its own.
    fn leader(&self) -> Option<EntryName> {
        let leads = |r: &Replica| {
            let status = r.status(self.now_ms);
            status.role == Role::Leader && status.fresh
        };
        let mut names = self.replicas.iter().filter(|(_, r)| leads(r));
        names.next().map(|(name, _)| name.clone())
    }

    /// Steps until one leads; returns it and how long it took.
    fn wait(&mut self) -> eyre::Result<(EntryName, u64)> {
        let from_ms = self.now_ms;
        while self.now_ms < from_ms + 60_000 {
            if let Some(leader) = self.leader() {
                return Ok((leader, self.now_ms - from_ms));
            }
            self.step();
        }
        Err(eyre!("no leader in a minute"))
    }
}

fn elections(heartbeat_ms: u64, election_timeout_ms: u64) -> eyre::Result<()> {
    let mut took_ms = Vec::new();
    for seed in 0..ELECTIONS {
        let mut voters = ThreeVoters::new(heartbeat_ms, election_timeout_ms, seed);
        let (leader, _) = voters.wait()?;
        // Killed at any moment between two heartbeats.
        (0..heartbeat_ms + seed % heartbeat_ms).for_each(|_| voters.step());
        voters.replicas.remove(&leader);
        took_ms.push(voters.wait()?.1);
    }
    took_ms.sort_unstable();
    let (p50, max) = (took_ms[took_ms.len() / 2], took_ms[took_ms.len() - 1]);
    println!("{heartbeat_ms:49}  {election_timeout_ms:10}  {p50:6}  {max:6}");
    Ok(())
}

fn idle_messages() -> eyre::Result<()> {
    let mut voters = ThreeVoters::new(100, 1_000, 1);
    let (leader, _) = voters.wait()?;
    // A clock as after some weeks, or small numbers make small messages.
    voters.now_ms += 3_000_000_000;
    voters.wait()?;
    (0..1_000).for_each(|_| voters.step());
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for _ in 0..200 {
        voters.step();
        for (from, _, message) in &voters.flying {
            let name = if *from == leader {
                "heartbeat"
            } else {
                "reply"
            };
            let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())?;
            let size = sizes.entry(name).or_default();
            *size = bytes.len().max(*size);
        }
    }
    sizes
        .iter()
        .for_each(|(name, bytes)| println!("{name:18}  {bytes:5}"));
    let entry = Entry {
        index: 100_000,
        term: 300,
        command: vec![7; COMMAND_BYTES],
        membership: None,
    };
    let record = Record::Entry(entry);
    let bytes = bincode::serde::encode_to_vec(record, bincode::config::standard())?;
    println!(
        "{:18}  {:5}  ({COMMAND_BYTES} of them the command)",
        "an entry",
        bytes.len()
    );
    Ok(())
}
