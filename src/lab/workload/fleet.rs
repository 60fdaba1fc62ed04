use serde::{Deserialize, Serialize};

use super::super::FakeMachine;
use crate::jobs::Resources;

/// The machines of a play.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// Pools that run jobs.
    pub pools: Vec<PoolSpec>,
    /// The pool whose machines are off; none if all stay on.
    #[serde(default)]
    pub standby: Option<StandbySpec>,
    /// Thousandths of a core of each machine.
    pub cpu_milli: u32,
    /// Memory of each machine.
    pub memory_mb: u32,
    /// Machines of a rack; they are lost together.
    pub rack_size: u16,
    /// How long a move to another pool takes.
    pub move_ms: u64,
    /// How long an upkeep takes.
    pub upkeep_ms: u64,
}

/// A pool that runs jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Its name.
    pub name: String,
    /// Machines that are in it in the beginning.
    pub workers: u16,
}

/// The pool whose machines are off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandbySpec {
    /// Its name.
    pub name: String,
    /// Machines that are in it in the beginning.
    pub machines: u16,
}

impl FleetSpec {
    /// How many machines there are.
    pub fn size(&self) -> usize {
        let standby = self.standby.as_ref().map_or(0, |s| usize::from(s.machines));
        let pools = self.pools.iter().map(|pool| usize::from(pool.workers));
        pools.sum::<usize>() + standby
    }

    /// All machines, pool after pool, those in standby last.
    pub fn machines(&self) -> Vec<FakeMachine> {
        let room = Resources {
            cpu_milli: self.cpu_milli,
            memory_mb: self.memory_mb,
            accelerators: 0,
        };
        let pools = self.pools.iter().map(|pool| (&pool.name, pool.workers));
        let standby = self.standby.iter().map(|s| (&s.name, s.machines));
        let pool_of_each = pools
            .chain(standby)
            .flat_map(|(name, count)| std::iter::repeat_n(name, usize::from(count)));
        (0..)
            .zip(pool_of_each)
            .map(|(place, pool)| {
                let rack = format!("r{}", place / self.rack_size);
                let pool = pool.as_str().into();
                FakeMachine::off(place, pool, "a".into(), rack.as_str().into(), room)
            })
            .collect()
    }
}
