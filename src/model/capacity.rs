use serde::{Deserialize, Serialize};

/// What an upstream says it can carry at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Accelerator devices.
    pub accelerators: u32,
    /// Requests that may run at once.
    pub slots: u32,
    /// Connections that may be open at once.
    pub connections: u32,
}
