use serde::{Deserialize, Serialize};

/// The declared resources of one request of a service. The declaration is often
/// inaccurate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Accelerator devices.
    pub accelerators: u32,
    /// Run time in milliseconds.
    pub run_ms: u64,
}
