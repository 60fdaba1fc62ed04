use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::InstanceName;

/// A maintenance wave: a set of machines that are due for upkeep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Its number, chosen by the operator.
    pub number: u64,
    /// The machines.
    pub machines: BTreeSet<String>,
    /// Time from the acceptance within which the upkeep of all machines is due, in milliseconds.
    pub duration_ms: u64,
    /// Most machines that may be down for the wave at once.
    pub down_max: usize,
    /// Time of the acceptance, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// The machines whose upkeep has begun, or that no longer exist.
    pub begun: BTreeSet<String>,
    /// The machines whose upkeep a leader is about to order or has ordered. This is committed
    /// before the order is sent: a new leader that did not know of it would take down one
    /// machine more than the wave allows.
    /// Each has the worker incarnation that was on it and that ends with the upkeep, because a
    /// later incarnation may already be there when the upkeep is confirmed.
    pub asked: BTreeMap<String, Option<InstanceName>>,
}

impl Wave {
    /// Returns whether the upkeep of all machines has begun.
    pub fn is_completed(&self) -> bool {
        self.machines.is_subset(&self.begun)
    }

    /// Returns the machines whose upkeep was ordered and is not known to have begun, with the
    /// worker incarnation that was on each.
    pub fn ordered(&self) -> impl Iterator<Item = (&String, &Option<InstanceName>)> {
        let asked = self.asked.iter();
        asked.filter(|(machine, _)| !self.begun.contains(*machine))
    }

    /// Returns the machines whose upkeep has not begun.
    pub fn due(&self) -> impl Iterator<Item = &String> {
        self.machines.difference(&self.begun)
    }
}
