//! Naive reference model: counts a pool from scratch.

use std::collections::BTreeMap;

use rosemarygauge::maintenance::{Cause, Fleet};
use rosemarygauge::model::{DesiredState, FailureDomain, InstanceName, PoolName, RackName};

#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recount {
    pub members: u32,
    pub serving: u32,
    pub worst: u32,
    pub absent: u32,
    pub needed: u32,
}

impl Recount {
    /// Counts the pool as if the instance `without` were absent.
    pub fn of(fleet: &Fleet, pool: &PoolName, without: Option<&InstanceName>) -> Self {
        let budget = fleet.pools()[pool].budget;
        let mut racks: BTreeMap<&RackName, u32> = BTreeMap::new();
        let mut count = Self::default();
        for instance in fleet.instances().values().filter(|i| i.pool == *pool) {
            count.members += 1;
            let serves = instance.duty == DesiredState::Serving
                && !fleet.is_failed(&instance.name)
                && without != Some(&instance.name);
            if serves {
                count.serving += 1;
                *racks.entry(&instance.rack).or_default() += 1;
            } else {
                count.absent += 1;
            }
        }
        count.worst = match budget.survive {
            FailureDomain::None => 0,
            FailureDomain::Instance => count.serving.min(1),
            FailureDomain::Rack => racks.values().copied().max().unwrap_or(0),
        };
        count.needed = budget.min_available;
        count
    }

    pub fn meets_budget(&self) -> bool {
        self.serving - self.worst >= self.needed
    }
}

/// Checks that the fleet's budget use equals the recount, and that each instance is
/// counted in exactly one pool and under at most one cause.
pub fn check(fleet: &Fleet) {
    let mut members = 0;
    for pool in fleet.pools().keys() {
        let used = fleet.budget_use(pool).unwrap();
        let count = Recount::of(fleet, pool, None);
        let absent: u32 = used.absent.values().sum();
        let reported = Recount {
            members: used.members,
            serving: used.serving,
            worst: used.worst_loss,
            absent,
            needed: used.needed,
        };
        assert_eq!(reported, count, "pool {pool}");
        assert_eq!(
            fleet.broken().contains(pool),
            !count.meets_budget(),
            "pool {pool}"
        );
        for cause in Cause::ALL {
            let of_cause = fleet.instances().values().filter(|i| {
                i.pool == *pool && Cause::of(i, fleet.is_failed(&i.name)) == Some(cause)
            });
            let reported = used.absent.get(&cause).copied().unwrap_or(0);
            assert_eq!(
                u32::try_from(of_cause.count()).unwrap(),
                reported,
                "{cause}"
            );
        }
        members += fleet.tally(pool).unwrap().members().len();
    }
    assert_eq!(
        members,
        fleet.instances().len(),
        "one pool for each instance"
    );
    for wave in fleet.waves().values() {
        for (pool, names) in &wave.pending {
            for name in names {
                assert_eq!(fleet.instances()[name].pool, *pool);
                assert!(!wave.out.contains_key(name), "{name} is out and pending");
            }
        }
    }
}
