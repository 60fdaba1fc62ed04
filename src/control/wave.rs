use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::InstanceName;

/// A maintenance wave: machines that are each due for upkeep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// Its number, chosen by the operator.
    pub number: u64,
    /// The machines.
    pub machines: BTreeSet<String>,
    /// In what time all of them are due.
    pub duration_ms: u64,
    /// How many may be down for it at once.
    pub down_max: usize,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
    /// The machines whose upkeep has begun or that are gone for good.
    pub begun: BTreeSet<String>,
    /// The machines whose upkeep a leader is about to order or has ordered. Written
    /// before the order leaves: a new leader that did not know would take down one
    /// machine more than the wave allows.
    /// With each the incarnation that was on it, which ends with the upkeep: once it
    /// has begun, another one may be there already.
    pub asked: BTreeMap<String, Option<InstanceName>>,
}

impl Wave {
    /// Whether the upkeep of all machines has begun.
    pub fn is_completed(&self) -> bool {
        self.machines.is_subset(&self.begun)
    }

    /// The machines whose upkeep was ordered and is not known to have begun.
    pub fn ordered(&self) -> impl Iterator<Item = (&String, &Option<InstanceName>)> {
        let asked = self.asked.iter();
        asked.filter(|(machine, _)| !self.begun.contains(*machine))
    }

    /// The machines whose upkeep has not begun.
    pub fn due(&self) -> impl Iterator<Item = &String> {
        self.machines.difference(&self.begun)
    }
}
