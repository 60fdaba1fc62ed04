use std::collections::BTreeMap;

use crate::model::{Capacity, Demand, Instance, Pool, PoolName, ZoneName};
use crate::state::State;

/// Where the instances are, gathered once for a whole sheet: looked up row by
/// row in the fleet, a large table would take the product of rows and instances.
pub(super) struct Sites<'a> {
    state: &'a State,
    by_pool: BTreeMap<&'a PoolName, BTreeMap<&'a ZoneName, Vec<&'a Instance>>>,
    zones: Vec<&'a ZoneName>,
    /// What all instances together carry of the smallest requests.
    all: Carry,
}

/// What some instances carry at once.
#[derive(Clone, Copy, Default)]
pub(super) struct Carry {
    /// Requests.
    pub capacity: u64,
    /// Instances.
    pub instances: u32,
}

/// The need of the smallest request there can be.
const SMALLEST: Demand = Demand {
    cores: 0,
    memory_mib: 0,
    accelerators: 0,
    run_ms: 0,
};

impl<'a> Sites<'a> {
    /// Gathers the instances of a state's fleet.
    pub fn new(state: &'a State) -> Self {
        let mut sites = Self {
            state,
            by_pool: BTreeMap::new(),
            zones: state.zones().into_iter().collect(),
            all: Carry::default(),
        };
        let instances = state.fleet().instances();
        for instance in instances.values() {
            let pool = sites.by_pool.entry(&instance.pool).or_default();
            pool.entry(&instance.zone).or_default().push(instance);
        }
        sites.all = sites.carry_of(instances.values(), SMALLEST);
        sites
    }

    /// Whether anything is in the availability zone.
    pub fn has_zone(&self, zone: &ZoneName) -> bool {
        self.zones.binary_search(&zone).is_ok()
    }

    /// The availability zones where a pool has instances; all while it has none.
    pub fn zones_of(&self, pool: &Pool) -> Vec<&'a ZoneName> {
        match self.by_pool.get(&pool.name) {
            Some(zones) => zones.keys().copied().collect(),
            None => self.zones.clone(),
        }
    }

    /// What all instances carry of the smallest requests.
    pub fn all(&self) -> Carry {
        self.all
    }

    /// What a pool's instances in a zone carry of a demand.
    pub fn carry(&self, pool: &Pool, zone: &ZoneName, demand: Demand) -> Carry {
        let there = self.by_pool.get(&pool.name).and_then(|by| by.get(zone));
        self.carry_of(there.into_iter().flatten().copied(), demand)
    }

    /// One that has not said what it carries counts as the largest that has.
    fn carry_of(&self, instances: impl Iterator<Item = &'a Instance>, demand: Demand) -> Carry {
        let mut carry = Carry::default();
        let (mut unknown, mut largest) = (0, 0);
        for instance in instances {
            carry.instances += 1;
            match self.state.capacities().get(&instance.name) {
                Some(capacity) => {
                    let fits = fits(capacity, demand);
                    carry.capacity += fits;
                    largest = largest.max(fits);
                }
                None => unknown += 1,
            }
        }
        carry.capacity += unknown * largest;
        carry
    }
}

/// How many requests of a demand an instance carries at once.
fn fits(capacity: &Capacity, demand: Demand) -> u64 {
    let by = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
    let fits = capacity
        .slots
        .min(capacity.connections)
        .min(by(capacity.cores, demand.cores))
        .min(by(capacity.memory_mib, demand.memory_mib))
        .min(by(capacity.accelerators, demand.accelerators));
    fits.into()
}
