use std::collections::{BTreeMap, BTreeSet};

use crate::control::Machine;

/// Interval between reads of the list. Only changes that the leader did not order need it,
/// and each read is a call to the platform.
const READ_INTERVAL_MS: u64 = 15_000;
/// Interval between reads while a machine that is due for upkeep is missing.
const MISSING_READ_INTERVAL_MS: u64 = 4_000;
/// Delay before a read that failed is tried again.
const RETRY_DELAY_MS: u64 = 1_000;

/// The platform's list of machines as of the last read, and the machines of waves that no
/// longer exist.
#[derive(Debug)]
pub struct MachineList {
    names: BTreeSet<String>,
    /// Time of the next request.
    next_request_ms: u64,
    /// Time of the request that is not answered yet.
    requested_ms: Option<u64>,
    /// Times at which the list that was read last was requested and received.
    last_requested_ms: u64,
    received_ms: u64,
    /// Machines of waves that are missing, each with the time since when.
    missing: BTreeMap<String, u64>,
    gone: BTreeSet<String>,
}

impl MachineList {
    /// Creates an empty list whose first read is due at once.
    pub fn new(now_ms: u64) -> Self {
        Self {
            names: BTreeSet::new(),
            next_request_ms: now_ms,
            requested_ms: None,
            last_requested_ms: 0,
            received_ms: now_ms,
            missing: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Returns whether to request the list now, and if so records the request.
    pub fn request_if_due(&mut self, now_ms: u64) -> bool {
        let due = now_ms >= self.next_request_ms && self.requested_ms.is_none();
        if due {
            self.requested_ms = Some(now_ms);
        }
        due
    }

    /// Records the answer to a request, `None` if the request failed.
    pub fn record_list(&mut self, now_ms: u64, machines: Option<&[Machine]>) {
        let requested_ms = self.requested_ms.take();
        let Some(machines) = machines else {
            self.next_request_ms = now_ms + RETRY_DELAY_MS;
            return;
        };
        self.names = machines.iter().map(|m| m.name.clone()).collect();
        self.last_requested_ms = requested_ms.unwrap_or(0);
        self.received_ms = now_ms;
        self.next_request_ms = now_ms + READ_INTERVAL_MS;
    }

    /// Records that a machine is present.
    pub fn record_present(&mut self, machine: &str) {
        self.missing.remove(machine);
    }

    /// Records that a machine of a wave is missing. Returns `true` once, when a list shows that
    /// the machine no longer exists.
    ///
    /// Only a list that was requested after the machine went missing counts. With an older list,
    /// a machine that was added or moved after that list was read would be taken for gone, and
    /// its wave would complete without its upkeep.
    pub fn record_missing(&mut self, now_ms: u64, machine: &str) -> bool {
        let missing_ms = *self.missing.entry(machine.to_owned()).or_insert(now_ms);
        self.next_request_ms = self
            .next_request_ms
            .min(self.received_ms + MISSING_READ_INTERVAL_MS);
        let is_confirmed = self.last_requested_ms > missing_ms && !self.names.contains(machine);
        is_confirmed && self.gone.insert(machine.to_owned())
    }

    /// Returns whether a machine was found to no longer exist.
    pub fn is_removed(&self, machine: &str) -> bool {
        self.gone.contains(machine)
    }
}
