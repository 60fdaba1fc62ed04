use serde::{Deserialize, Serialize};

/// What one request of a service is declared to need; often far off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Processor cores.
    pub cores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Accelerator devices.
    pub accelerators: u32,
    /// Declared run time in milliseconds.
    pub run_ms: u64,
}
