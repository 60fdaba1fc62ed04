use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::{Budget, FailureDomain, RackName};

/// How many instances of a pool serve, by rack.
///
/// Each question costs a logarithm at most, so that a change in a fleet of
/// 21,000 instances does not recount a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    serving: u32,
    by_rack: BTreeMap<RackName, u32>,
    racks_by_size: BTreeMap<u32, u32>,
    /// Members by rack that serve or are expected back.
    members: BTreeMap<RackName, u32>,
}

impl Room {
    /// One more instance of `rack` serves or is expected to.
    pub fn join(&mut self, rack: &RackName) {
        *self.members.entry(rack.clone()).or_default() += 1;
    }

    /// One instance of `rack` is not expected to serve any more.
    pub fn leave(&mut self, rack: &RackName) {
        let members = self.members(rack);
        if members > 1 {
            self.members.insert(rack.clone(), members - 1);
        } else {
            self.members.remove(rack);
        }
    }

    /// Instances of `rack` that serve or are expected to.
    pub fn members(&self, rack: &RackName) -> u32 {
        self.members.get(rack).copied().unwrap_or(0)
    }

    /// Whether one more instance of `rack` would give the budget more room: under
    /// a budget that survives a rack, one in the largest rack gives none.
    pub fn gains_by(&self, rack: &RackName, budget: &Budget) -> bool {
        let largest = self.members.values().max().copied().unwrap_or(0);
        budget.survive != FailureDomain::Rack || self.members(rack) < largest
    }

    /// One more instance of `rack` serves.
    pub fn add(&mut self, rack: &RackName) {
        let size = self.rack(rack);
        self.resize(rack, size, size + 1);
        self.serving += 1;
    }

    /// One instance of `rack` serves no more; nothing if none did.
    pub fn remove(&mut self, rack: &RackName) {
        let size = self.rack(rack);
        if size > 0 {
            self.resize(rack, size, size - 1);
            self.serving -= 1;
        }
    }

    /// Instances that serve.
    pub fn serving(&self) -> u32 {
        self.serving
    }

    /// Racks with an instance that serves.
    pub fn racks(&self) -> u32 {
        u32::try_from(self.by_rack.len()).unwrap_or(u32::MAX)
    }

    /// Instances that serve in `rack`.
    pub fn rack(&self, rack: &RackName) -> u32 {
        self.by_rack.get(rack).copied().unwrap_or(0)
    }

    /// The racks with the most instances that serve, and how many.
    pub fn worst_racks(&self) -> (u32, impl Iterator<Item = &RackName>) {
        let worst = self.worst_loss(FailureDomain::Rack);
        let racks = self.by_rack.iter().filter(move |(_, size)| **size == worst);
        (worst, racks.map(|(rack, _)| rack))
    }

    /// Instances lost with the worst failure domain still to come.
    pub fn worst_loss(&self, survive: FailureDomain) -> u32 {
        match survive {
            FailureDomain::None => 0,
            FailureDomain::Instance => self.serving.min(1),
            FailureDomain::Rack => self.racks_by_size.keys().next_back().copied().unwrap_or(0),
        }
    }

    /// Whether the budget holds, the worst loss still to come included.
    pub fn holds(&self, budget: &Budget) -> bool {
        self.serving - self.worst_loss(budget.survive) >= budget.min_available
    }

    /// Whether the budget would hold without one instance of `rack`.
    pub fn holds_without(&self, rack: &RackName, budget: &Budget) -> bool {
        let serving = self.serving.saturating_sub(1);
        let worst = match budget.survive {
            FailureDomain::None => 0,
            FailureDomain::Instance => serving.min(1),
            FailureDomain::Rack => self.worst_rack_without(rack),
        };
        serving - worst >= budget.min_available
    }

    /// Instances that could be absent at once, at most: an upper bound, met
    /// when the racks are of one size.
    pub fn width_bound(&self, budget: &Budget) -> u32 {
        let racks = self.racks().max(1);
        let fits = |left: u32| {
            let worst = match budget.survive {
                FailureDomain::None => 0,
                FailureDomain::Instance => left.min(1),
                FailureDomain::Rack => left.div_ceil(racks),
            };
            left - worst >= budget.min_available
        };
        let least = (budget.min_available..=self.serving).find(|left| fits(*left));
        least.map_or(0, |left| self.serving - left)
    }

    fn worst_rack_without(&self, rack: &RackName) -> u32 {
        let worst = self.worst_loss(FailureDomain::Rack);
        let alone = self.racks_by_size.get(&worst) == Some(&1);
        if alone && self.rack(rack) == worst {
            worst.saturating_sub(1)
        } else {
            worst
        }
    }

    fn resize(&mut self, rack: &RackName, old: u32, new: u32) {
        if old > 0 {
            let racks = self.racks_by_size.entry(old).or_default();
            *racks -= 1;
            if *racks == 0 {
                self.racks_by_size.remove(&old);
            }
        }
        if new > 0 {
            *self.racks_by_size.entry(new).or_default() += 1;
            self.by_rack.insert(rack.clone(), new);
        } else {
            self.by_rack.remove(rack);
        }
    }
}
