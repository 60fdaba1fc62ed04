use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::model::{Instance, InstanceName, Pool};

use super::{BudgetUse, Cause, Room};

/// Counts of a pool's instances by what they do, updated with each change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    members: BTreeSet<InstanceName>,
    absent: BTreeMap<Cause, u32>,
    room: Room,
}

impl Tally {
    /// Adds an instance to the counts.
    pub fn add(&mut self, instance: &Instance, failed: bool) {
        self.members.insert(instance.name.clone());
        let cause = Cause::of(instance, failed);
        // An instance that is set aside is not expected to serve again in its rack.
        if cause != Some(Cause::SetAside) {
            self.room.add_member(&instance.rack);
        }
        match cause {
            Some(cause) => *self.absent.entry(cause).or_default() += 1,
            None => self.room.add_serving(&instance.rack),
        }
    }

    /// Removes an instance from the counts; it must be in the state it was added with.
    pub fn remove(&mut self, instance: &Instance, failed: bool) {
        self.members.remove(&instance.name);
        let cause = Cause::of(instance, failed);
        if cause != Some(Cause::SetAside) {
            self.room.remove_member(&instance.rack);
        }
        let Some(cause) = cause else {
            self.room.remove_serving(&instance.rack);
            return;
        };
        let count = self.absent.entry(cause).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.absent.remove(&cause);
        }
    }

    /// The pool's instances.
    pub fn members(&self) -> &BTreeSet<InstanceName> {
        &self.members
    }

    /// The serving instances by rack.
    pub fn room(&self) -> &Room {
        &self.room
    }

    /// The use of the pool's budget.
    pub fn budget_use(&self, pool: &Pool) -> BudgetUse {
        BudgetUse {
            pool: pool.name.clone(),
            members: u32::try_from(self.members.len()).unwrap_or(u32::MAX),
            serving: self.room.serving(),
            absent: self.absent.clone(),
            survive: pool.budget.survive,
            worst_loss: self.room.worst_loss(pool.budget.survive),
            needed: pool.budget.min_available,
        }
    }
}
