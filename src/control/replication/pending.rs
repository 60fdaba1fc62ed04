use std::collections::BTreeMap;

use crate::consensus::COMMAND_LIMIT_BYTES;
use crate::control::{Change, Command};
use crate::model::EntryName;

/// Maximum number of commands that are proposed and not applied. New changes accumulate
/// meanwhile, so that one sync carries many; two commands keep the disk busy.
const MAX_COMMANDS_IN_FLIGHT: usize = 2;
/// Minimum time between two commands, in which changes accumulate. Every command costs a
/// message to and from each other control instance and a sync on each of them. A start waits
/// half of this time on average.
const MIN_COMMAND_INTERVAL_MS: u64 = 8;
/// A command with at least this many changes doubles the time until the next one.
const LARGE_COMMAND_CHANGES: usize = 20;
/// Maximum number of changes in one command.
const MAX_CHANGES_PER_COMMAND: usize = 100;
/// Maximum size of a command of more than one change. The log drops a command above its
/// limit. The leader would wait for it forever and accept and start nothing more, while it
/// kept renewing leases as if all were well.
const MAX_COMMAND_BYTES: usize = COMMAND_LIMIT_BYTES / 2;

/// Changes that are queued for the log or proposed to it, each with an optional waiter.
#[derive(Debug)]
pub struct Pending<W> {
    by: EntryName,
    start: u64,
    next_sequence: u64,
    next_command_ms: u64,
    queued: Vec<(Change, Option<W>)>,
    in_flight: BTreeMap<u64, Vec<Option<W>>>,
}

impl<W> Pending<W> {
    /// Creates an empty queue. `start` distinguishes the commands of this leadership from
    /// others.
    pub fn new(by: EntryName, start: u64) -> Self {
        Self {
            by,
            start,
            next_sequence: 1,
            next_command_ms: 0,
            queued: Vec::new(),
            in_flight: BTreeMap::new(),
        }
    }

    /// Queues a change.
    pub fn add(&mut self, change: Change, waiter: Option<W>) {
        self.queued.push((change, waiter));
    }

    /// Returns the next command to propose, if one is due.
    pub fn next(&mut self, now_ms: u64, at_unix_ms: u64) -> Option<Command> {
        let early = now_ms < self.next_command_ms && self.queued.len() < MAX_CHANGES_PER_COMMAND;
        if self.queued.is_empty() || early || self.in_flight.len() >= MAX_COMMANDS_IN_FLIGHT {
            return None;
        }
        let count = self.next_change_count();
        let is_large = count >= LARGE_COMMAND_CHANGES;
        self.next_command_ms = now_ms
            + if is_large {
                2 * MIN_COMMAND_INTERVAL_MS
            } else {
                MIN_COMMAND_INTERVAL_MS
            };
        let rest = self.queued.split_off(count);
        let taken = std::mem::replace(&mut self.queued, rest);
        let (changes, waiters) = taken.into_iter().unzip();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.in_flight.insert(sequence, waiters);
        Some(Command {
            by: self.by.clone(),
            start: self.start,
            sequence,
            at_unix_ms,
            changes,
        })
    }

    /// Returns the number of queued changes that fit into the next command.
    fn next_change_count(&self) -> usize {
        let mut size_bytes = 0;
        let next = self.queued.iter().take(MAX_CHANGES_PER_COMMAND);
        let fitting = next.take_while(|(change, _)| {
            size_bytes += change.size_bytes();
            size_bytes <= MAX_COMMAND_BYTES
        });
        fitting.count().max(1)
    }

    /// Returns the waiters of an applied command's changes, in their order. The result is
    /// empty if another leadership proposed the command.
    pub fn applied(&mut self, command: &Command) -> Vec<Option<W>> {
        if command.by != self.by || command.start != self.start {
            return Vec::new();
        }
        self.in_flight.remove(&command.sequence).unwrap_or_default()
    }

    /// Returns all waiters, when the leadership ends.
    pub fn into_waiters(self) -> impl Iterator<Item = W> {
        let queued = self.queued.into_iter().filter_map(|(_, w)| w);
        let in_flight = self.in_flight.into_values().flatten().flatten();
        queued.chain(in_flight)
    }
}
