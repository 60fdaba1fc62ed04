use serde::{Deserialize, Serialize};

use crate::jobs::Resources;

/// Average amounts of resources in use or in demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Processor cores.
    pub cores: f64,
    /// Memory in mebibytes.
    pub memory_mb: f64,
    /// Number of accelerators.
    pub accelerators: f64,
}

impl Load {
    /// Returns a load of cores alone.
    pub fn of_cores(cores: f64) -> Self {
        Self {
            cores,
            ..Self::default()
        }
    }

    /// Returns the sum of both loads.
    pub fn plus(&self, other: &Self) -> Self {
        self.combine(other, |own, other| own + other)
    }

    /// Returns the load multiplied by a factor.
    pub fn times(&self, times: f64) -> Self {
        self.combine(self, |own, _| own * times)
    }

    /// Returns the larger amount of each resource.
    pub fn max(&self, other: &Self) -> Self {
        self.combine(other, f64::max)
    }

    /// Returns how much more of each resource this is than `other`.
    pub fn excess_over(&self, other: &Self) -> Self {
        self.combine(other, |own, other| (own - other).max(0.0))
    }

    /// Returns how many units of `size` the load needs, determined by the scarcest
    /// resource. Resources of which `size` has none are left out.
    pub fn count(&self, size: &Self) -> f64 {
        let of = |load: f64, size: f64| if size > 0.0 { load / size } else { 0.0 };
        of(self.cores, size.cores)
            .max(of(self.memory_mb, size.memory_mb))
            .max(of(self.accelerators, size.accelerators))
    }

    fn combine(&self, other: &Self, by: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            cores: by(self.cores, other.cores),
            memory_mb: by(self.memory_mb, other.memory_mb),
            accelerators: by(self.accelerators, other.accelerators),
        }
    }
}

impl From<&Resources> for Load {
    fn from(room: &Resources) -> Self {
        Self {
            cores: room.cores(),
            memory_mb: f64::from(room.memory_mb),
            accelerators: f64::from(room.accelerators),
        }
    }
}
