use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::model::{Budget, FailureDomain, RackName};

/// Serving instances of a pool by rack, from which its room for absences follows.
///
/// Counts are updated incrementally, so that a change in a fleet of 21,000
/// instances does not recount a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    serving: u32,
    by_rack: BTreeMap<RackName, u32>,
    racks_by_size: BTreeMap<u32, u32>,
    /// Instances by rack that serve or are expected to serve again.
    members: BTreeMap<RackName, u32>,
}

impl Room {
    /// Adds an instance of `rack` that serves or is expected to serve again.
    pub fn add_member(&mut self, rack: &RackName) {
        *self.members.entry(rack.clone()).or_default() += 1;
    }

    /// Removes an instance of `rack` that is not expected to serve again.
    pub fn remove_member(&mut self, rack: &RackName) {
        let members = self.members_in(rack);
        if members > 1 {
            self.members.insert(rack.clone(), members - 1);
        } else {
            self.members.remove(rack);
        }
    }

    /// Number of instances of `rack` that serve or are expected to serve again.
    pub fn members_in(&self, rack: &RackName) -> u32 {
        self.members.get(rack).copied().unwrap_or(0)
    }

    /// Whether one more instance of `rack` would leave more room under the budget.
    /// Under a budget that survives a rack, one in the largest rack leaves no more.
    pub fn gains_room_from(&self, rack: &RackName, budget: &Budget) -> bool {
        let largest = self.members.values().max().copied().unwrap_or(0);
        budget.survive != FailureDomain::Rack || self.members_in(rack) < largest
    }

    /// Adds a serving instance of `rack`.
    pub fn add_serving(&mut self, rack: &RackName) {
        let size = self.serving_in(rack);
        self.resize(rack, size, size + 1);
        self.serving += 1;
    }

    /// Removes a serving instance of `rack`; does nothing if none serves.
    pub fn remove_serving(&mut self, rack: &RackName) {
        let size = self.serving_in(rack);
        if size > 0 {
            self.resize(rack, size, size - 1);
            self.serving -= 1;
        }
    }

    /// Number of instances that serve.
    pub fn serving(&self) -> u32 {
        self.serving
    }

    /// Number of racks with an instance that serves.
    pub fn serving_racks(&self) -> u32 {
        u32::try_from(self.by_rack.len()).unwrap_or(u32::MAX)
    }

    /// Number of instances that serve in `rack`.
    pub fn serving_in(&self, rack: &RackName) -> u32 {
        self.by_rack.get(rack).copied().unwrap_or(0)
    }

    /// The number of serving instances in the largest racks, and those racks.
    pub fn largest_racks(&self) -> (u32, impl Iterator<Item = &RackName>) {
        let worst = self.worst_loss(FailureDomain::Rack);
        let racks = self.by_rack.iter().filter(move |(_, size)| **size == worst);
        (worst, racks.map(|(rack, _)| rack))
    }

    /// Most instances lost with one failure domain.
    pub fn worst_loss(&self, survive: FailureDomain) -> u32 {
        match survive {
            FailureDomain::None => 0,
            FailureDomain::Instance => self.serving.min(1),
            FailureDomain::Rack => self.racks_by_size.keys().next_back().copied().unwrap_or(0),
        }
    }

    /// Whether the budget holds even after the worst loss.
    pub fn holds(&self, budget: &Budget) -> bool {
        self.serving - self.worst_loss(budget.survive) >= budget.min_available
    }

    /// Whether the budget would hold without one serving instance of `rack`.
    pub fn holds_without(&self, rack: &RackName, budget: &Budget) -> bool {
        let serving = self.serving.saturating_sub(1);
        let worst = match budget.survive {
            FailureDomain::None => 0,
            FailureDomain::Instance => serving.min(1),
            FailureDomain::Rack => self.largest_rack_without(rack),
        };
        serving - worst >= budget.min_available
    }

    /// Upper bound on the number of further instances that could be absent at the same
    /// time; exact when the racks are of equal size.
    pub fn width_bound(&self, budget: &Budget) -> u32 {
        let racks = self.serving_racks().max(1);
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

    fn largest_rack_without(&self, rack: &RackName) -> u32 {
        let worst = self.worst_loss(FailureDomain::Rack);
        let is_only_largest = self.racks_by_size.get(&worst) == Some(&1);
        if is_only_largest && self.serving_in(rack) == worst {
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
