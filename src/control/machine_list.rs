use std::collections::{BTreeMap, BTreeSet};

use super::Machine;

/// How often the list is read: only others' doings change it, and each reading is a
/// call to the platform.
const READ_MS: u64 = 15_000;
/// How often it is read while a machine that is due for upkeep is not to be seen.
const READ_MISSING_MS: u64 = 4_000;
/// Pause before a list that did not come is asked for again.
const RETRY_MS: u64 = 1_000;

/// The keeper's list of the machines as it was read last, and which machines of waves
/// are gone for good.
#[derive(Debug)]
pub struct MachineList {
    names: BTreeSet<String>,
    /// When it is asked for next.
    due_ms: u64,
    /// When it was asked for, while it is awaited.
    asked_ms: Option<u64>,
    /// When the one that was read last was asked for, and when it came.
    as_of_ms: u64,
    read_ms: u64,
    /// Machines that are not to be seen, and since when.
    missing: BTreeMap<String, u64>,
    gone: BTreeSet<String>,
}

impl MachineList {
    /// Nothing is read yet; it is asked for at once.
    pub fn new(now_ms: u64) -> Self {
        Self {
            names: BTreeSet::new(),
            due_ms: now_ms,
            asked_ms: None,
            as_of_ms: 0,
            read_ms: now_ms,
            missing: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Whether to ask for it now; it counts as asked for then.
    pub fn ask(&mut self, now_ms: u64) -> bool {
        let due = now_ms >= self.due_ms && self.asked_ms.is_none();
        if due {
            self.asked_ms = Some(now_ms);
        }
        due
    }

    /// Takes the list, none if it did not come.
    pub fn read(&mut self, now_ms: u64, machines: Option<&[Machine]>) {
        let asked_ms = self.asked_ms.take();
        let Some(machines) = machines else {
            self.due_ms = now_ms + RETRY_MS;
            return;
        };
        self.names = machines.iter().map(|m| m.name.clone()).collect();
        self.as_of_ms = asked_ms.unwrap_or(0);
        self.read_ms = now_ms;
        self.due_ms = now_ms + READ_MS;
    }

    /// The machine is there.
    pub fn seen(&mut self, machine: &str) {
        self.missing.remove(machine);
    }

    /// A machine of a wave is not to be seen; `true` once, when the list tells that it is
    /// gone for good.
    ///
    /// Only a list that was asked for since it is missing tells. One that came, or moved,
    /// after an older list was read would be taken for gone, and its wave be said to be
    /// done without its upkeep.
    pub fn has_gone(&mut self, now_ms: u64, machine: &str) -> bool {
        let missing_ms = *self.missing.entry(machine.to_owned()).or_insert(now_ms);
        self.due_ms = self.due_ms.min(self.read_ms + READ_MISSING_MS);
        let told = self.as_of_ms > missing_ms && !self.names.contains(machine);
        told && self.gone.insert(machine.to_owned())
    }

    /// Whether a machine was found to be gone for good.
    pub fn is_gone(&self, machine: &str) -> bool {
        self.gone.contains(machine)
    }
}
