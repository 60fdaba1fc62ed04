use serde::{Deserialize, Serialize};

use crate::jobs::Resources;

/// Sums of resources over many workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceTotals {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mb: u64,
    /// Accelerator devices.
    pub accelerators: u64,
}

impl ResourceTotals {
    /// Adds the resources of `count` tasks.
    pub fn add(&mut self, each: &Resources, count: u64) {
        self.cpu_milli += u64::from(each.cpu_milli) * count;
        self.memory_mb += u64::from(each.memory_mb) * count;
        self.accelerators += u64::from(each.accelerators) * count;
    }

    /// Removes the resources of `count` tasks.
    pub fn remove(&mut self, each: &Resources, count: u64) {
        let less = |sum: u64, each: u32| sum.saturating_sub(u64::from(each) * count);
        self.cpu_milli = less(self.cpu_milli, each.cpu_milli);
        self.memory_mb = less(self.memory_mb, each.memory_mb);
        self.accelerators = less(self.accelerators, each.accelerators);
    }
}

/// Largest sums of resources that the running tasks of a workspace may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Processor, in thousandths of a core; `None` is no limit.
    pub cpu_milli: Option<u64>,
    /// Memory, in mebibytes; `None` is no limit.
    pub memory_mb: Option<u64>,
    /// Accelerator devices; `None` is no limit.
    pub accelerators: Option<u64>,
}

impl Quota {
    /// Returns how many more tasks of this demand may start beside those that use `used`.
    /// A resource that a task does not ask for does not limit it.
    pub fn count_fitting(&self, used: &ResourceTotals, demand: &Resources) -> usize {
        let fitting = |limit: Option<u64>, used: u64, demand: u32| {
            let left = limit.map(|limit| limit.saturating_sub(used))?;
            left.checked_div(u64::from(demand))
        };
        let counts = [
            fitting(self.cpu_milli, used.cpu_milli, demand.cpu_milli),
            fitting(self.memory_mb, used.memory_mb, demand.memory_mb),
            fitting(self.accelerators, used.accelerators, demand.accelerators),
        ];
        let fewest = counts.into_iter().flatten().min();
        fewest.map_or(usize::MAX, |count| {
            usize::try_from(count).unwrap_or(usize::MAX)
        })
    }

    /// Returns whether more is in use than the quota allows.
    pub fn is_exceeded(&self, used: &ResourceTotals) -> bool {
        let over = |limit: Option<u64>, used: u64| limit.is_some_and(|limit| used > limit);
        over(self.cpu_milli, used.cpu_milli)
            || over(self.memory_mb, used.memory_mb)
            || over(self.accelerators, used.accelerators)
    }
}
