//! The division of machines among pools that together need more than there are.
//!
//! While there are enough, each pool gets what it needs and nothing is decided here. When
//! there are not, machines go to the work that is entitled to them: first to the most urgent
//! priority, and among pools of one priority in proportion to what they could use, so that each
//! of them serves the same part of its work. What is late or beyond its workspace's share gets
//! what is left. Each class leaves a part to all those after it, so that none starves.

use super::average_size;
use super::balance::Balance;
use crate::control::{CapacityInput, PoolDemand, ServiceClass};

/// What a pool could use machines for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claim {
    /// Machines that the pool keeps in any case: those with lasting tasks, and its minimum.
    pub fixed: usize,
    /// Further machines by class, each at most once.
    pub wanted: Vec<(ServiceClass, f64)>,
}

/// The machines that a pool may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allotment {
    /// All of them.
    pub machines: usize,
    /// Those for lasting tasks and for entitled work.
    pub entitled: usize,
    /// The most urgent priority of the entitled work that gets any.
    pub priority: Option<u32>,
}

/// Divides machines among pools. Returns an allotment for each claim, `None` if there are
/// enough machines for all of them. `rest_part` is the part of the machines left that a class
/// leaves to the classes after it.
pub fn allot(claims: &[Claim], machines: usize, rest_part: f64) -> Option<Vec<Allotment>> {
    let wanted = |claim: &Claim| claim.wanted.iter().map(|(_, count)| count).sum::<f64>();
    let fixed: usize = claims.iter().map(|claim| claim.fixed).sum();
    let all: f64 = claims.iter().map(wanted).sum();
    if fixed as f64 + all <= machines as f64 {
        return None;
    }
    let mut left = machines.saturating_sub(fixed) as f64;
    let mut wanted_after = all;
    let mut given = vec![0.0; claims.len()];
    let mut entitled = vec![0.0; claims.len()];
    let mut priorities = vec![None; claims.len()];
    for class in classes(claims) {
        let of_class = claims.iter().map(|claim| claim.wanted_by(class));
        let of_class: Vec<f64> = of_class.collect();
        let wanted: f64 = of_class.iter().sum();
        wanted_after -= wanted;
        let reserved = (left * rest_part).min(wanted_after.max(0.0));
        let part = ((left - reserved) / wanted).clamp(0.0, 1.0);
        for (pool, wanted) in of_class
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0.0)
        {
            given[pool] += wanted * part;
            if class.is_entitled() {
                entitled[pool] += wanted * part;
                priorities[pool] = priorities[pool].or(Some(class.priority));
            }
        }
        left -= wanted * part;
    }
    let whole = |pool: usize, count: f64| claims[pool].fixed + count.floor() as usize;
    let allotments = (0..claims.len()).map(|pool| Allotment {
        machines: whole(pool, given[pool]),
        entitled: whole(pool, entitled[pool]),
        priority: priorities[pool],
    });
    Some(allotments.collect())
}

/// Returns the classes that want machines: the entitled ones first, by priority.
fn classes(claims: &[Claim]) -> Vec<ServiceClass> {
    let wanted = claims.iter().flat_map(|claim| &claim.wanted);
    let mut classes: Vec<ServiceClass> = wanted
        .filter(|(_, count)| *count > 0.0)
        .map(|(class, _)| *class)
        .collect();
    classes.sort_by_key(|class| (!class.is_entitled(), *class));
    classes.dedup();
    classes
}

impl Claim {
    /// Returns the claim of a pool, by its work and what arrives.
    pub(super) fn of_pool(pool: &Balance, world: &CapacityInput) -> Self {
        let none = PoolDemand::default();
        let demand = world.demand.get(&pool.name).unwrap_or(&none);
        let size = demand.size().unwrap_or_else(|| average_size(world.demand));
        let offer = world.offers.get(&pool.name).copied().unwrap_or_default();
        let lasting = demand.workers.iter().filter(|w| w.lasting > 0).count();
        let fixed = demand
            .min_workers
            .max(lasting)
            .max(world.policy.moves.fewest);
        let mut sum = demand.lasting;
        let mut counted = sum.count(&size).max(fixed as f64);
        let mut wanted = Vec::new();
        for (class, load) in demand.claims(&offer, &world.policy.needs) {
            sum = sum.plus(&load);
            let count = sum.count(&size).max(counted);
            wanted.push((class, count - counted));
            counted = count;
        }
        let fixed = demand.lasting.count(&size).ceil().max(fixed as f64) as usize;
        Claim { fixed, wanted }
    }

    fn wanted_by(&self, class: ServiceClass) -> f64 {
        let of_class = self.wanted.iter().filter(|(own, _)| *own == class);
        of_class.map(|(_, count)| count).sum()
    }
}
