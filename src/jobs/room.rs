use serde::{Deserialize, Serialize};

/// The resources that a task requests or a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory, in mebibytes.
    pub memory_mb: u32,
    /// Accelerator devices.
    pub accelerators: u32,
}

impl Resources {
    /// The processor, in cores.
    pub fn cores(&self) -> f64 {
        f64::from(self.cpu_milli) / 1_000.0
    }

    /// Whether `other` fits in these resources.
    pub fn fits(&self, other: &Self) -> bool {
        other.cpu_milli <= self.cpu_milli
            && other.memory_mb <= self.memory_mb
            && other.accelerators <= self.accelerators
    }

    /// How many times `other` fits in these resources; [`u32::MAX`] if `other` is
    /// zero.
    pub fn count_fitting(&self, other: &Self) -> u32 {
        let quotient = |own: u32, other: u32| own.checked_div(other).unwrap_or(u32::MAX);
        quotient(self.cpu_milli, other.cpu_milli)
            .min(quotient(self.memory_mb, other.memory_mb))
            .min(quotient(self.accelerators, other.accelerators))
    }

    /// Returns the difference to `other`, at least zero each.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the sum with `other`.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}
