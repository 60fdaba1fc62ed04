use std::collections::BTreeMap;

use super::{Change, Command};
use crate::consensus::COMMAND_LIMIT_BYTES;
use crate::model::EntryName;

/// Commands that may be on their way into the log at once. While they are, new
/// changes gather for the next, so one sync carries many; two keep the disk busy.
const IN_FLIGHT_MAX: usize = 2;
/// Between two commands at least, in milliseconds: changes gather for the next. Every
/// command is a message to every other control instance and one back, and a sync on
/// each; at hundreds a second they took a third of a leader's processor time with six
/// instances. A task's start waits half of this on average, below a hundredth of the
/// shortest run times.
const GATHER_MS: u64 = 8;
/// Twice as long after a command with this many changes: some 2,500 a second.
const GATHER_MORE_CHANGES: usize = 20;
/// Changes in one command.
const CHANGES_MAX: usize = 100;
/// Bytes in one command, but that one change alone may have more. The log drops a
/// command above its limit, and the leader would wait for it for good: nothing is
/// accepted or started any more, while leases are renewed as if all were well.
const COMMAND_BYTES: usize = COMMAND_LIMIT_BYTES / 2;

/// Changes on their way into the log, each with what waits for it.
#[derive(Debug)]
pub struct Pending<W> {
    by: EntryName,
    start: u64,
    next: u64,
    next_ms: u64,
    gathering: Vec<(Change, Option<W>)>,
    in_flight: BTreeMap<u64, Vec<Option<W>>>,
}

impl<W> Pending<W> {
    /// Nothing is on its way. `start` tells this leader's commands from others.
    pub fn new(by: EntryName, start: u64) -> Self {
        Self {
            by,
            start,
            next: 1,
            next_ms: 0,
            gathering: Vec::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Adds a change.
    pub fn add(&mut self, change: Change, waiter: Option<W>) {
        self.gathering.push((change, waiter));
    }

    /// The next command to propose, if it is time.
    pub fn next(&mut self, now_ms: u64, at_unix_ms: u64) -> Option<Command> {
        let early = now_ms < self.next_ms && self.gathering.len() < CHANGES_MAX;
        if self.gathering.is_empty() || early || self.in_flight.len() >= IN_FLIGHT_MAX {
            return None;
        }
        let count = self.count();
        let busy = count >= GATHER_MORE_CHANGES;
        self.next_ms = now_ms + if busy { 2 * GATHER_MS } else { GATHER_MS };
        let rest = self.gathering.split_off(count);
        let taken = std::mem::replace(&mut self.gathering, rest);
        let (changes, waiters) = taken.into_iter().unzip();
        let sequence = self.next;
        self.next += 1;
        self.in_flight.insert(sequence, waiters);
        Some(Command {
            by: self.by.clone(),
            start: self.start,
            sequence,
            at_unix_ms,
            changes,
        })
    }

    /// How many of the changes that gathered make the next command.
    fn count(&self) -> usize {
        let mut size_bytes = 0;
        let first = self.gathering.iter().take(CHANGES_MAX);
        let fit = first.take_while(|(change, _)| {
            size_bytes += change.size_bytes();
            size_bytes <= COMMAND_BYTES
        });
        fit.count().max(1)
    }

    /// A command was applied; what waited for its changes, in their order.
    pub fn applied(&mut self, command: &Command) -> Vec<Option<W>> {
        if command.by != self.by || command.start != self.start {
            return Vec::new();
        }
        self.in_flight.remove(&command.sequence).unwrap_or_default()
    }

    /// Everything that waits, when its leader leads no more.
    pub fn into_waiters(self) -> impl Iterator<Item = W> {
        let gathering = self.gathering.into_iter().filter_map(|(_, w)| w);
        let in_flight = self.in_flight.into_values().flatten().flatten();
        gathering.chain(in_flight)
    }
}
