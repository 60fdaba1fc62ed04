use serde::{Deserialize, Serialize};

/// The capacity that an upstream reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Accelerator devices.
    pub accelerators: u32,
    /// Largest number of requests that run at once.
    pub slots: u32,
    /// Largest number of connections that are open at once.
    pub connections: u32,
}
